#pragma once

#include <plantainward/upstream/log_point.hpp>
#include <plantainward/upstream/statement.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace standin
{

/// A change of a key: the new value, or none for a removal.
using key_write = std::pair<std::string, std::optional<std::string>>;

/// A committed transaction, or the empty entry that starts a term.
struct log_entry
{
    plantainward::upstream::term_number term{0};
    /// Id of the transaction; empty when the caller gave none.
    std::string id;
    /// Digest of the statements; distinguishes a repeated order from a
    /// reused id.
    std::string digest;
    /// The entry records that the id did not run and must not run any more.
    bool voids_id{false};
    std::vector<key_write> writes;
    std::vector<plantainward::upstream::statement_result> results;
};

/// A replica's request for the entries that it lacks.
struct pull_order
{
    int slot{0};
    plantainward::upstream::term_number term{0};
    /// The last log point of each term in the replica's log, oldest first.
    std::vector<plantainward::upstream::log_point> term_ends;
};

/// The entries after the longest common prefix of the two logs.
struct pull_reply
{
    /// False when the asked database was not promoted in the term.
    bool accepted{false};
    plantainward::upstream::term_number term{0};
    /// Length of the common prefix.
    plantainward::upstream::log_position common{0};
    std::vector<log_entry> entries;
};

} // namespace standin
