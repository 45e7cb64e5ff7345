#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace soak
{

/// Microseconds of the steady clock since the start of the run.
using instant = std::int64_t;

constexpr instant never = -1;

constexpr instant from_ms(std::int64_t ms)
{
    return ms * 1000;
}

/// One request of a caller. It is noted before its first byte is written.
struct request
{
    std::string id;
    std::string text;
    std::size_t session{0};
    std::size_t host{0};
    /// Number of the process of that host, from 1.
    unsigned incarnation{0};
    /// The name that the session opened.
    std::string database;
    /// Number of the caller's transaction; 0: none.
    std::uint64_t transaction{0};
    /// Number of the attempt of an operation; a retry is another attempt.
    std::uint64_t attempt{0};
    /// False: the caller left in the middle of the line.
    bool is_whole{true};
    /// Values that were acknowledged to the session before the request, and
    /// those that it had sent and that were not answered yet.
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> unanswered_values;
    /// Of an EXECUTE: `READ` or `WRITE` and the shape that the name stands for.
    std::string shape;

    instant sent{0};
    instant answered{never};
    /// Code of the error; empty after a success.
    std::string code;
    std::string signature;
    std::vector<std::string> rows;
};

/// A caller's START.
struct opening
{
    std::size_t session{0};
    std::size_t host{0};
    unsigned incarnation{0};
    std::string database;
    instant sent{0};
    instant answered{never};
    std::string code;
};

/// One statement at a database.
struct run
{
    std::string service;
    std::string database;
    std::uint64_t connection{0};
    /// Word of the START of the connection.
    std::string sender;
    /// Number of the transaction of the connection; 0: none.
    std::uint64_t transaction{0};
    std::string id;
    /// The text without the prefix AFTER.
    std::string text;
    std::string after;
    std::map<std::string, std::string> values;
    std::string shape;

    instant arrived{0};
    instant started{never};
    instant ended{never};
    /// Code of the error; empty after a success.
    std::string code;
    std::string signature;
    std::vector<std::string> rows;
    /// Index + 1 of the last commit that the log held at the start; 0: none.
    std::size_t log_end{0};
};

/// A commit that writes.
struct commit
{
    std::string service;
    std::string database;
    std::uint64_t term{0};
    std::uint64_t number{0};
    /// Index + 1 of the commit before it in the log; 0: none.
    std::size_t parent{0};
    /// The request that committed, and the writes that took effect.
    std::string id;
    std::vector<std::string> writes;
    instant at{0};
    /// Whether the log of the last primary of the run holds it.
    bool is_kept{false};
};

struct route
{
    std::string service;
    std::string kind;
    std::int64_t max_staleness_ms{0};
    std::int64_t timeout_ms{0};
};

/// A version of the operator's configuration.
struct configuration
{
    std::uint64_t version{0};
    std::map<std::string, route> routes;
    instant sent{0};
    instant acknowledged{0};
};

/// A span in which a host or the store was not in order.
struct disruption
{
    static constexpr std::size_t store = ~std::size_t{0};
    static constexpr std::size_t all_hosts = store - 1;

    std::size_t host{0};
    std::string kind;
    instant from{0};
    instant to{0};
};

/// A message that a caller got while no request was outstanding.
struct stray_message
{
    std::size_t session{0};
    instant at{0};
    std::string line;
};

/// What the callers, the databases, the store and the operator have recorded.
struct history
{
    std::vector<request> requests;
    std::vector<opening> openings;
    std::vector<run> runs;
    std::vector<commit> commits;
    std::vector<configuration> configurations;
    std::vector<disruption> disruptions;
    std::vector<stray_message> stray_messages;
    /// End of each transaction of a database's connection.
    std::map<std::uint64_t, instant> transaction_ends;
    /// Name of each host, as its START says it to a database.
    std::vector<std::string> host_names;
    /// Other events, for the stories.
    std::vector<std::pair<instant, std::string>> notes;
};

} // namespace soak
