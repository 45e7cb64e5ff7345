#pragma once

#include <cstddef>

namespace plantainward::pooling
{

/// A database that may run a read, with what is known of its load.
struct read_candidate
{
    /// Time of one statement as observed by this host, in milliseconds.
    double observed_ms{0};
    /// Share of statements that the database has run instead of refusing them
    /// or failing.
    double success_share{1};
    /// Statements of this host that are in flight there now.
    std::size_t own_in_flight{0};
    /// Statements that one other host has in flight there on average, as the
    /// hosts report; 1 without reports.
    double reported_in_flight{1};
    /// Added to the delay for a reason other than load, in milliseconds.
    double extra_ms{0};
    /// Share of the work that it would get otherwise; below 1 while it starts.
    double start_share{1};
    /// It is in the failure domain of this host.
    bool is_in_own_domain{true};
};

} // namespace plantainward::pooling
