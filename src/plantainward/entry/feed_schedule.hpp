#pragma once

#include <plantainward/core/time.hpp>

#include <cstddef>

namespace plantainward::entry
{

/// Time for which the table service is to hold a feed without changes.
///
/// A feed whose connection has gone silent looks like one without changes until
/// its answer is overdue. All feeds of a table begin together, after each
/// change, and would be found silent together too. Their ends are spread
/// evenly over the hosts instead: within `feed_spacing` some host has an
/// answer, or opens another connection and tells the others of newer versions.
///
/// `rank` is the position of this host among the `hosts` that follow the table,
/// `since_change` the time since the last change of the table.
core::millis feed_wait(std::size_t rank, std::size_t hosts,
                       core::millis since_change);

/// Longest time between the ends of the feeds of a table on all hosts.
constexpr core::millis feed_spacing{1200};

/// The table service holds no feed for longer, which is less than the history
/// that it keeps.
constexpr core::millis max_feed_wait{12'000};

} // namespace plantainward::entry
