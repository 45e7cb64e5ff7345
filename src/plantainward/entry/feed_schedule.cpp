#include <plantainward/entry/feed_schedule.hpp>

#include <algorithm>

namespace plantainward::entry
{

core::millis feed_wait(std::size_t rank, std::size_t hosts,
                       core::millis since_change)
{
    const auto count = static_cast<core::millis::rep>(hosts);
    const auto period = std::min(max_feed_wait, feed_spacing * count);
    const auto first_end =
        period * (static_cast<core::millis::rep>(rank) + 1) / count;
    if (since_change < first_end)
        return first_end - since_change;
    return period - (since_change - first_end) % period;
}

} // namespace plantainward::entry
