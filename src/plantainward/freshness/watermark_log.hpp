#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/upstream/log_point.hpp>

#include <deque>
#include <optional>

namespace plantainward::freshness
{

/// A proof that the log of the current primary ended at `point` at `since` or
/// later.
///
/// Data at this log point or a later one includes every commit that was
/// acknowledged before `since`.
struct watermark
{
    core::boot_instant since;
    upstream::log_point point;
};

/// The latest watermarks of one service, limited in number.
class watermark_log
{
public:
    /// Adds a watermark; one that is not newer than the newest is dropped.
    void add(const watermark& watermark);

    /// The oldest watermark at or after `earliest`, which requires the lowest
    /// log point; empty when there is none.
    std::optional<watermark> oldest_since(core::boot_instant earliest) const;

    /// The newest watermark; empty when there is none.
    std::optional<watermark> newest() const;

private:
    /// Ordered by `since`.
    std::deque<watermark> m_watermarks;
};

} // namespace plantainward::freshness
