#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/quota/quota_bounds.hpp>
#include <plantainward/quota/quota_owners.hpp>
#include <plantainward/quota/recent_count.hpp>
#include <plantainward/quota/token_bucket.hpp>
#include <plantainward/quota/token_grant.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace plantainward::quota
{

/// Limits by the name of the workspace.
using limits_by_workspace = std::map<std::string, routes::quota_limit>;

/// Grants the tokens of the workspaces whose limits this host owns.
///
/// Grants nothing while it may have been replaced as an owner without knowing:
/// for 10 s after the last proof that a majority of the voters has the same
/// voter set. An owner under a voter set that replaced another one waits for as
/// long after its first such proof, since the previous owner may grant until
/// then.
///
/// Must be called at least once a second; after a longer gap, as after a
/// suspension, all buckets are empty.
class token_ledger
{
public:
    token_ledger(std::string self, quota_bounds bounds);

    /// Replaces the limits; buckets of limits that continue are kept.
    void set_limits(const limits_by_workspace& limits, core::boot_instant now);

    /// Replaces the voter set of this version. The failure domains of all
    /// voters must be known: without them, hosts would not agree on the owners.
    /// An empty set makes this host the owner of nothing.
    void set_voters(std::uint64_t version, const voter_domains& voters,
                    core::boot_instant now);

    /// Notes that a majority of the voters had the present set at this instant
    /// or later.
    void set_majority_at(core::boot_instant at, core::boot_instant now);

    /// Answers a request for up to `count` tokens.
    token_grant request(const std::string& workspace, std::uint32_t count,
                        core::boot_instant now);

    void tick(core::boot_instant now);

    /// Number of limits that this host owns.
    std::size_t owned_count() const { return m_owned.size(); }

private:
    struct owned_limit
    {
        token_bucket bucket;
        std::size_t owner_count{0};
        /// Another host may have owned the limit before.
        bool has_predecessor{false};
        /// First proof of a majority since this host became the owner.
        std::optional<core::boot_instant> first_majority_at{};
        core::boot_instant owned_since{};
        /// Requests that were refused within a second.
        recent_count refused;
    };

    void empty_after_gap(core::boot_instant now);
    void update_owned(bool voters_changed, core::boot_instant now);
    bool may_grant(const owned_limit& owned, core::boot_instant now) const;
    static core::millis retry_time(owned_limit& owned, core::boot_instant now);

    std::string m_self;
    quota_bounds m_bounds;
    limits_by_workspace m_limits;
    voter_domains m_voters;
    std::uint64_t m_voters_version{0};
    std::map<std::string, owned_limit> m_owned;
    std::optional<core::boot_instant> m_majority_at;
    std::optional<core::boot_instant> m_last_call;
};

} // namespace plantainward::quota
