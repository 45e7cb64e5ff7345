#pragma once

#include "report.hpp"
#include "shape.hpp"

#include <cstdint>
#include <string>

namespace bench
{

/// What the command line asks of an experiment.
struct options
{
    shape form;
    int tries{20};
    std::uint64_t seed{1};
    bool quick{false};
    /// Folder of the built programs.
    std::string programs;
    std::string logs;
};

/// Writes a line on progress.
void progress(const std::string& text);

// The experiments.
report run_failover(const options& chosen);
report run_reads(const options& chosen);
report run_throughput(const options& chosen);
report run_overload(const options& chosen);
report run_config(const options& chosen);
report run_leaving(const options& chosen);
report run_drain(const options& chosen);
report run_idle(const options& chosen);
report run_scale(const options& chosen);
report run_callers(const options& chosen);

} // namespace bench
