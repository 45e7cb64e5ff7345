// The databases of one service: a primary and its replicas.

#pragma once

#include "net.hpp"
#include "store.hpp"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review
{

/// An entry of a log.
struct log_entry
{
    std::uint64_t term{0};
    std::uint64_t number{0};
    /// Ids of the statements that wrote, with item and data.
    std::vector<std::array<std::string, 3>> writes;
    /// Id of the commit, or of the single write.
    std::string commit;
};

/// One run of a caller's statement.
struct statement_run
{
    std::string id;
    std::string text;
    std::string database;
    std::int64_t at_ms{0};
    /// Number of entries in the log on which it ran.
    std::uint64_t log_end{0};
    bool committed{false};
};

struct database_options
{
    std::string id;
    std::string zone;
    std::uint16_t port{0};
    bool is_primary{false};
};

class database_group;

/// A database that speaks the line protocol. Its group's mutex guards it.
class database
{
public:
    database(database_group& group, database_options options);

    void start();
    /// The process is gone; its connections are closed.
    void crash();
    /// Starts again under the same id. It has its log, or knows nothing of
    /// before.
    void restart(bool keeps_log);
    /// Writes the registration, as it is now.
    void report();

    const database_options& options() const { return m_options; }

private:
    friend class database_group;

    struct session
    {
        explicit session(int fd) : channel(fd) {}

        stream channel;
        bool is_open{false};
        bool in_transaction{false};
        bool is_read_only{false};
        bool has_failed{false};
        bool is_ended{false};
        std::vector<std::array<std::string, 3>> writes;
        std::map<std::string, std::string> values;
        std::map<std::string, std::pair<bool, std::string>> prepared;
    };

    struct answer
    {
        std::string error{};
        std::vector<std::string> rows{};
        std::string signature{"-"};
    };

    void accept(int listener);
    void serve(const std::shared_ptr<session>& peer);
    bool open(session& peer, std::string rest);
    answer execute(session& peer, const std::string& id, std::string text);
    answer execute_statement(session& peer, const std::string& id,
                             const std::string& text, const std::string& word);
    answer run(session& peer, const std::string& id, const std::string& text,
               std::string word, std::string rest);
    answer status() const;
    std::string position() const;
    bool has_position(const std::string& position) const;
    std::string value_of(const session& peer, const std::string& item) const;
    void commit(const std::string& id,
                std::vector<std::array<std::string, 3>> writes);

    database_group& m_group;
    database_options m_options;
    int m_listener{-1};
    bool m_is_running{false};
    bool m_is_primary{false};
    bool m_is_leaving{false};
    /// Receives nothing from the primary.
    bool m_is_deaf{false};
    std::uint64_t m_term{0};
    std::uint64_t m_held_term{0};
    std::uint64_t m_born{0};
    std::uint64_t m_sequence{0};
    std::vector<log_entry> m_log;
    std::set<std::shared_ptr<session>> m_sessions;
};

struct group_options
{
    std::string service;
    std::string ip;
    std::int64_t lag_ms{8};
    std::int64_t promote_ms{300};
    std::int64_t work_ms{5};
    /// Interval of registrations.
    std::int64_t heartbeat_ms{1200};
};

class database_group
{
public:
    database_group(group_options options, record& out);

    database& add(database_options options);
    /// Registers all databases, and starts replication and heartbeats.
    void start(row_store& store);
    /// A call of the platform's promotion; returns the status of its answer.
    int promote(const std::string& id, const std::string& holder,
                std::uint64_t token);
    void set_deaf(const std::string& id, bool is_deaf);
    void set_leaving(const std::string& id);
    /// Id of the database that leads the newest term.
    std::string primary();
    /// The log of the database that leads the newest term.
    std::vector<log_entry> log();
    std::vector<statement_run> runs();
    database& find(const std::string& id);

private:
    friend class database;

    void replicate();
    void lead(const std::string& id);
    database* leader();

    std::mutex m_mutex;
    group_options m_options;
    record& m_record;
    row_store* m_store{nullptr};
    std::vector<std::unique_ptr<database>> m_databases;
    std::vector<statement_run> m_runs;
};

} // namespace review
