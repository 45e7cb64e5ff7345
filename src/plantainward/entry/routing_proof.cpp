#include <plantainward/entry/routing_proof.hpp>

#include <algorithm>

namespace plantainward::entry
{

namespace
{

// Age of the proof at which the first host in the order reads the table. A
// proof must outlast an outage of 3 s within the 5 s of the limit, with 0.3 s
// for the next heartbeat, 0.3 s that dating by its echo costs and 0.5 s for the
// first read after the outage.
constexpr core::millis read_age{700};

// Added for the hosts after the first one. They learn of a new proof at the
// next heartbeat, and date it by their own last one: two intervals of 300 ms,
// and the time of the read.
constexpr core::millis propagation_time{750};

// Further age for each host in the order, so that one read normally ends before
// the next host reads.
constexpr core::millis rank_delay{150};

// After a read that failed.
constexpr core::millis retry_interval{400};

// A read without an end after this time counts as lost; longer than its
// timeout.
constexpr core::millis read_timeout{1500};

} // namespace

void routing_proof::add(std::uint64_t era, std::uint64_t version,
                        std::uint64_t own_version, core::boot_instant at)
{
    note_era(era);
    if (era < m_era || version > own_version)
        return;
    m_at = m_at ? std::max(*m_at, at) : at;
    m_missing_since.reset();
}

void routing_proof::note_era(std::uint64_t era)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_at.reset();
}

bool routing_proof::must_read(std::size_t rank, core::boot_instant now)
{
    const bool is_reading =
        m_read_sent_at && now - *m_read_sent_at < read_timeout;
    if (is_reading || now - m_failed_at < retry_interval)
        return false;
    const auto order_delay = rank_delay * static_cast<int>(rank);
    if (!m_at)
    {
        if (!m_missing_since)
            m_missing_since = now;
        return now - *m_missing_since >= order_delay;
    }
    return now - *m_at >= read_age +
                              (rank == 0 ? core::millis(0) : propagation_time) +
                              order_delay;
}

void routing_proof::note_read_ended(bool succeeded, core::boot_instant now)
{
    m_read_sent_at.reset();
    if (!succeeded)
        m_failed_at = now;
}

} // namespace plantainward::entry
