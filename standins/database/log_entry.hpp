#pragma once

#include <plantainward/upstream/log_point.hpp>
#include <plantainward/upstream/statement.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace standin
{

/// One change of a key: a new value, or none for a removal.
using key_write = std::pair<std::string, std::optional<std::string>>;

/// One committed transaction, or the first entry of a term.
struct log_entry
{
    plantainward::upstream::term_number term{0};
    std::string id;
    std::string digest;
    bool voids_id{false};
    std::vector<key_write> writes;
    std::vector<plantainward::upstream::statement_result> results;
};

/// A follower's request for the entries it lacks.
struct pull_order
{
    int slot{0};
    plantainward::upstream::term_number term{0};
    /// The last log point of each term in the follower's log, oldest first.
    std::vector<plantainward::upstream::log_point> term_ends;
};

/// The entries that follow the longest common prefix.
struct pull_reply
{
    bool accepted{false};
    plantainward::upstream::term_number term{0};
    plantainward::upstream::log_position common{0};
    std::vector<log_entry> entries;
};

} // namespace standin
