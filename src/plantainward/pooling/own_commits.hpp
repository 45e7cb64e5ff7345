#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/freshness/watermark_log.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace plantainward::pooling
{

/// A session's last commit at each service.
///
/// A log point means something only in the log that it was taken from, and
/// each service has a log of its own. A session reaches several services when
/// its route moves.
class own_commits
{
public:
    /// Number of services for which commits are kept.
    static constexpr std::size_t max_services = 16;

    /// Notes a commit: when it was acknowledged, and its log point.
    void record(const std::string& service, const freshness::watermark& commit);

    /// The last commit at a service; empty when none is kept.
    std::optional<freshness::watermark>
    last_at(const std::string& service) const;

    /// Whether a commit at the service, acknowledged at this instant or later,
    /// may have been dropped because of the limit. Its log point is not known,
    /// so only the primary surely has it.
    bool may_lack(const std::string& service, core::boot_instant since) const;

private:
    std::map<std::string, freshness::watermark> m_commits;
    /// When the latest of the dropped commits was acknowledged.
    std::optional<core::boot_instant> m_dropped_at;
};

} // namespace plantainward::pooling
