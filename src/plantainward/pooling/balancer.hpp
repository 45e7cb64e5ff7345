#pragma once

#include <plantainward/pooling/read_candidate.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace plantainward::pooling
{

/// Divides reads among the databases that may run them.
///
/// Chooses the database with the least cost: the observed time of a statement,
/// which shows the load of all hosts, times this host's statements in flight,
/// corrected by the average of other hosts' reports. The sum of all reported
/// statements is not used: hosts that follow the same old report all move to
/// the same database (docs/design/even-load.md). A database of the own failure
/// domain is preferred while its cost is not much higher. The class has no
/// clock and no random source.
class balancer
{
public:
    /// Cost of running one more statement at a database, in milliseconds;
    /// failures raise it.
    static double cost_ms(const read_candidate& candidate);

    /// Index of the database for a read; empty when there are no candidates.
    /// `number` differs between statements and decides which of them go to a
    /// database that starts.
    static std::optional<std::size_t>
    choose(std::span<const read_candidate> candidates, std::uint64_t number);
};

} // namespace plantainward::pooling
