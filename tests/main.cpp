#include <CppUTest/CommandLineTestRunner.h>

// Leak detection is left to the address sanitizer: a thread keeps its last
// reason, and the libraries under test keep buffers, beyond one test.
int main(int argc, char** argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
