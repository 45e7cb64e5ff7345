#include <CppUTest/CommandLineTestRunner.h>

// The address sanitizer detects leaks instead: the last error of a thread and
// buffers of the libraries under test stay allocated beyond one test.
int main(int argc, char** argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
