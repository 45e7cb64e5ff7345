#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/upstream/log_point.hpp>

#include <deque>
#include <optional>

namespace plantainward::freshness
{

/// A proof of age: at `since` or later, the current primary's log ended here.
///
/// Data at this point or past it holds every commit that was acknowledged
/// before `since`.
struct mark
{
    core::boot_instant since;
    upstream::log_point point;
};

/// The marks of one service, bounded in count.
class mark_log
{
public:
    /// Takes a mark; one that proves less than what is known is dropped.
    void add(const mark& one);

    /// The mark that asks least of a replica among those since `oldest`.
    std::optional<mark> weakest_since(core::boot_instant oldest) const;

    /// The mark that proves most.
    std::optional<mark> newest() const;

private:
    /// In the order of `since`.
    std::deque<mark> m_marks;
};

} // namespace plantainward::freshness
