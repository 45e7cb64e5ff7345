#pragma once

#include <cstdlib>
#include <string>

namespace review
{

/// Results of a case, as exit codes.
enum class verdict
{
    held = 0,
    broken = 1,
    could_not_run = 2
};

/// What run.sh passes to the program of a case.
struct case_arguments
{
    std::string proxy;
    std::string record_path;
    std::string work_folder;
    /// False: the same run without the disruption.
    bool has_trouble{true};
};

/// Arguments: the proxy, the record and the folder for temporary files.
inline case_arguments arguments_of(int argc, char** argv)
{
    if (argc != 4)
        std::exit(static_cast<int>(verdict::could_not_run));
    const char* trouble = std::getenv("TROUBLE");
    return {argv[1], argv[2], argv[3],
            trouble == nullptr || std::string(trouble) != "0"};
}

} // namespace review
