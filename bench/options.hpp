#pragma once

#include "report.hpp"
#include "shape.hpp"

#include <cstdint>
#include <string>

namespace bench
{

/// Options of an experiment, from the command line.
struct options
{
    shape fleet_shape;
    int tries{20};
    std::uint64_t seed{1};
    /// Fewer tries and shorter runs.
    bool quick{false};
    /// The build folder.
    std::string program_folder;
    /// Folder for the logs of the processes.
    std::string log_folder;
};

/// Writes a line about the progress to standard error.
void progress(const std::string& text);

// The experiments. A report without product figures means that the fleet did
// not start.
report run_failover(const options& run_options);
report run_reads(const options& run_options);
report run_throughput(const options& run_options);
report run_overload(const options& run_options);
report run_config(const options& run_options);
report run_leaving(const options& run_options);
report run_drain(const options& run_options);
report run_idle(const options& run_options);
report run_scale(const options& run_options);
report run_callers(const options& run_options);

} // namespace bench
