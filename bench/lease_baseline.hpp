#pragma once

#include "fleet.hpp"

#include <atomic>
#include <thread>

namespace bench
{

/// A baseline for the failover experiment: a lease in the table service decides
/// which database is the primary.
///
/// An agent renews the lease while the primary answers. When the lease has
/// expired, a second agent would acquire it and promote a replica; one thread
/// plays both.
class lease_baseline
{
public:
    /// Promotes a first primary and starts the agent. `databases` has one
    /// service and no proxies.
    lease_baseline(const fleet& databases, core::millis time_to_live);
    ~lease_baseline();

    /// Writes directly to the primary that the lease names; false when it does
    /// not accept the write.
    bool write();

    /// Index of the primary that the lease names.
    int primary() const { return m_primary; }

private:
    void run();
    /// Writes the lease row; false when another writer was first or there is no
    /// answer.
    bool renew();
    /// Promotes the database with the longest log in a new term.
    void promote_replica();

    const fleet& m_databases;
    core::millis m_time_to_live;
    std::atomic<int> m_primary{0};
    std::atomic<std::uint64_t> m_term{1};
    std::atomic<bool> m_running{true};
    std::uint64_t m_version{0};
    std::thread m_agent;
};

} // namespace bench
