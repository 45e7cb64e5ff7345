#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace plantainward::pooling
{

/// The numbers of statements that other hosts have in flight at one database,
/// as they last reported them.
class load_reports
{
public:
    /// A host had `in_flight` statements there at `at` or later; ignores a
    /// report that is older than the last one of the host.
    void add(const std::string& host, std::size_t in_flight,
             core::boot_instant at);

    /// Statements that one other host has in flight, averaged over the hosts
    /// and over their last few reports; a report counts the less the older it
    /// is. Empty when no report is recent enough.
    std::optional<double> mean_in_flight(core::boot_instant now) const;

    /// Age of the oldest report that counts; empty when none does.
    std::optional<core::millis> oldest_age(core::boot_instant now) const;

private:
    struct host_report
    {
        double in_flight{0};
        core::boot_instant at;
    };

    std::map<std::string, host_report> m_reports;
};

} // namespace plantainward::pooling
