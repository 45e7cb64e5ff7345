#pragma once

#include "fleet.hpp"

#include <atomic>
#include <thread>

namespace bench
{

/// Failover by a lease in the table service, to compare with.
///
/// An agent renews the lease of a primary that answers; a second one takes the
/// lease over when it has lapsed and then promotes a replica.
class lease_baseline
{
public:
    /// Runs on the databases of one service, without proxies.
    lease_baseline(const fleet& where, core::millis time_to_live);
    ~lease_baseline();

    /// Writes straight to the primary of the lease; whether it was taken.
    bool write();

    /// The primary that the lease names.
    int primary() const { return m_primary; }

private:
    void run();
    bool renew();
    void take_over();

    const fleet& m_fleet;
    core::millis m_time_to_live;
    std::atomic<int> m_primary{0};
    std::atomic<std::uint64_t> m_term{1};
    std::atomic<bool> m_running{true};
    std::uint64_t m_version{0};
    std::thread m_agent;
};

} // namespace bench
