#pragma once

#include <plantainward/upstream/log_point.hpp>

#include <string>

namespace plantainward::failover
{

/// A watcher's view of the primary of one group, sent to other watchers.
struct opinion
{
    std::string service;
    int slot{0};
    /// Term of the primary that the opinion is about.
    upstream::term_number term{0};
    /// False withdraws an earlier suspicion.
    bool suspects{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, slot, term, suspects);
    }
};

} // namespace plantainward::failover
