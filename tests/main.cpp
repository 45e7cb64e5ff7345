#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

// Leak detection is left to the address sanitizer: the libraries under test
// keep buffers for the life of the process.
int main(int argc, char** argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
