#pragma once

#include <plantainward/upstream/log_point.hpp>

#include <string>

namespace plantainward::failover
{

/// Tells other watchers whether a watcher suspects that the primary of a group
/// has failed.
struct opinion
{
    std::string service;
    int slot{0};
    /// Term of the primary that the opinion is about.
    upstream::term_number term{0};
    /// False withdraws a suspicion that was sent before.
    bool suspects{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, slot, term, suspects);
    }
};

} // namespace plantainward::failover
