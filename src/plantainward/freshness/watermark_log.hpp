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
struct watermark
{
    core::boot_instant since;
    upstream::log_point point;
};

/// The watermarks of one service, bounded in count.
class watermark_log
{
public:
    /// Takes a watermark; one that proves less than what is known is dropped.
    void add(const watermark& one);

    /// The watermark that asks least of a replica among those since `oldest`.
    std::optional<watermark> oldest_since(core::boot_instant oldest) const;

    /// The watermark that proves most.
    std::optional<watermark> newest() const;

private:
    /// In the order of `since`.
    std::deque<watermark> m_marks;
};

} // namespace plantainward::freshness
