#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/enum_names.hpp>

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

namespace plantainward::pooling
{

/// What to do with a statement that can't start at once.
enum class verdict : std::uint8_t
{
    /// It is expected to meet its objective.
    wait,
    /// It misses its objective and is expected to run before its limit.
    wait_late,
    /// It can't run before its limit.
    reject
};

/// Names of the verdicts in logs.
inline constexpr core::enum_names<verdict, 3> verdict_names{
    {"wait", "wait late", "reject"}};

/// What decides when a waiting statement runs.
struct candidate
{
    /// Instant by which its answer meets the objective.
    core::boot_instant objective{};
    /// Instant after which it is refused.
    core::boot_instant limit{};
    /// Lower numbers run first.
    int priority{0};
    /// How far its workspace is above its share of slot time; 0: not above.
    std::size_t excess{0};
    /// Expected time at the database, in milliseconds.
    double service_ms{0};
};

/// Whether a statement that starts now is answered within its objective.
bool can_meet_objective(const candidate& candidate, core::boot_instant now);

/// Key by which waiting statements run, lowest first: those that can meet their
/// objective, then by priority, share of the workspace, earliest objective.
using service_rank = std::tuple<bool, int, std::size_t, core::boot_instant>;
service_rank rank_of(const candidate& candidate, core::boot_instant now);

/// Decides on the statements that wait for the same databases.
class admission
{
public:
    /// Decides on an arriving statement; `waiting` are the others in the order
    /// of their ranks. `statements_per_ms` is what the databases are expected
    /// to complete for this host; 0 when it is not known, then the statement
    /// waits. It is also rejected if one of at least the same rank that waits
    /// would miss its objective because of it.
    verdict decide(const std::vector<candidate>& waiting,
                   const candidate& arriving, double statements_per_ms,
                   core::boot_instant now) const;

    /// A statement was started or was told to wait for its objective.
    void record_admitted(double statements_per_ms, core::boot_instant now);

    /// Part of the service that statements within their objective take; from 0
    /// to 1 and above.
    double utilization(core::boot_instant now) const;

    /// Which of the waiting statements, in the order of their ranks, can't run
    /// before their limit any more; indices in ascending order.
    static std::vector<std::size_t>
    unservable(const std::vector<candidate>& waiting, double statements_per_ms,
               core::boot_instant now);

private:
    /// Statement milliseconds per millisecond, decayed.
    double m_utilization{0};
    core::boot_instant m_updated_at{};
};

} // namespace plantainward::pooling
