#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace plantainward::entry
{

/// The proof that a host's routing is current, and when this host has to read
/// the table service for a newer one.
///
/// A proof is an instant of this host's boot clock at or after which the table
/// service had no newer routing than the host's. An older version that was
/// proved is a proof for each newer version too. Proofs of an earlier era of
/// the table service don't count.
class routing_proof
{
public:
    /// A host must not use a key for longer than this before the limit of
    /// revocation. Instants of other hosts are only ever dated too early, so
    /// it covers the rounding of ages and the different rates of clocks (below
    /// 1 ms in 5 s), and the time from the check of a statement to its sending.
    static constexpr core::millis margin{100};

    /// Adds a proof for a routing version that was read in an era; ignores it
    /// if it is for a newer version than the host's or of an earlier era.
    void add(std::uint64_t era, std::uint64_t version,
             std::uint64_t own_version, core::boot_instant at);

    /// The table service is in this era: proofs of earlier ones are dropped.
    void note_era(std::uint64_t era);

    std::uint64_t era() const { return m_era; }
    /// The newest proof; empty when there is none in this era.
    std::optional<core::boot_instant> at() const { return m_at; }

    /// Whether this host has to read the table service now; its rank is the
    /// number of live voters that are to read before it.
    bool must_read(std::size_t rank, core::boot_instant now);
    /// A read was sent.
    void note_read_sent(core::boot_instant now) { m_read_sent_at = now; }
    /// The last read has ended, successfully or not.
    void note_read_ended(bool succeeded, core::boot_instant now);

private:
    std::uint64_t m_era{0};
    std::optional<core::boot_instant> m_at;
    /// Since when there has been no proof, while there is none.
    std::optional<core::boot_instant> m_missing_since;
    /// When the read under way was sent; empty when there is none.
    std::optional<core::boot_instant> m_read_sent_at;
    core::boot_instant m_failed_at{};
};

} // namespace plantainward::entry
