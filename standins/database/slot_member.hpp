#pragma once

#include <database/log_entry.hpp>

#include <plantainward/upstream/control_order.hpp>
#include <plantainward/upstream/run_order.hpp>
#include <plantainward/upstream/slot_status.hpp>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin
{

namespace upstream = plantainward::upstream;

/// A transaction that is open on a connection: its reads and pending writes.
struct open_transaction
{
    int slot{0};
    upstream::term_number term{0};
    /// Keys and prefixes that were read, each with the log length at that
    /// moment.
    std::vector<std::pair<std::string, upstream::log_position>> read_keys;
    std::vector<std::pair<std::string, upstream::log_position>> read_prefixes;
    std::map<std::string, std::optional<std::string>> writes;
    std::vector<upstream::statement_result> results;
};

/// The state of a database in one slot: its log, its data and its term.
class slot_member
{
public:
    explicit slot_member(int slot) : m_slot(slot) {}

    upstream::slot_status status() const;

    /// Grants a term to a claimant and stops acting for earlier terms. False
    /// when the term is older or was granted to another claimant.
    bool grant(upstream::term_number term, const std::string& claimant);
    /// Becomes the primary of the granted term. False when the term was not
    /// granted to this claimant.
    bool promote(upstream::term_number term, const std::string& claimant);
    /// Becomes a replica in a term; false when the term is older than the
    /// granted one, or when this member was promoted in it.
    bool follow(upstream::term_number term);

    /// Runs all statements of an order as one transaction. Reads without an id
    /// run at a replica too.
    upstream::run_result one_shot(const upstream::run_order& order);
    /// Opens a transaction; only the primary of the term does.
    upstream::run_result begin(const upstream::run_order& order,
                               open_transaction& transaction) const;
    /// Runs statements within an open transaction. The writes stay pending.
    upstream::run_result execute(const upstream::run_order& order,
                                 open_transaction& transaction) const;
    /// Appends the pending writes to the log. Refused when data that the
    /// transaction read has changed.
    upstream::run_result commit(const upstream::run_order& order,
                                open_transaction& transaction);
    /// Returns the recorded result of an id, or voids an id that has not run.
    upstream::run_result settle(const upstream::run_order& order);

    /// The pull order with which this member asks its primary for entries.
    pull_order make_pull() const;
    /// The entries after the common prefix, up to the visible length.
    pull_reply serve_pull(const pull_order& order,
                          upstream::log_position visible,
                          std::size_t max_entries) const;
    /// Replaces the log after the common prefix by the pulled entries. False
    /// when the reply does not fit the role, the term or the log of this
    /// member.
    bool apply_pull(const pull_reply& reply);

    /// All entries; tests and the bench check histories against them.
    const std::vector<log_entry>& log() const { return m_log; }

private:
    /// A value and the log position that wrote it.
    struct version
    {
        std::optional<std::string> value;
        upstream::log_position written_at{0};
    };

    upstream::log_point last_point() const;
    upstream::log_position common_prefix_length(
        const std::vector<upstream::log_point>& term_ends) const;
    bool is_primary_at(upstream::term_number term) const;
    /// A refusal when this member may not write at the term of an order.
    std::optional<upstream::run_result>
    refuse_write(const upstream::run_order& order) const;
    /// A refusal when this member may not read at the term of an order, or its
    /// log is too short.
    std::optional<upstream::run_result>
    refuse_read(const upstream::run_order& order) const;
    /// The result of an id that is in the log.
    std::optional<upstream::run_result>
    recorded_result(const upstream::run_order& order) const;
    /// Runs a statement within a transaction; empty when it fails.
    std::optional<upstream::statement_result>
    apply(const upstream::statement& statement,
          open_transaction& transaction) const;
    std::optional<std::string> read_key(const std::string& key,
                                        open_transaction& transaction) const;
    upstream::statement_result list(const std::string& prefix,
                                    open_transaction& transaction) const;
    /// Whether data that the transaction read has changed since.
    bool has_conflict(const open_transaction& transaction) const;
    upstream::run_result append(log_entry entry);
    void apply_writes(const log_entry& entry);
    void truncate(upstream::log_position length);

    int m_slot;
    upstream::role m_role{upstream::role::none};
    upstream::term_number m_granted_term{0};
    std::string m_claimant;
    /// Term at which this member was last promoted.
    upstream::term_number m_promoted_term{0};
    std::vector<log_entry> m_log;
    /// The last log point of each term in the log, oldest first.
    std::vector<upstream::log_point> m_term_ends;
    std::map<std::string, version> m_data;
    std::unordered_map<std::string, std::size_t> m_entries_by_id;
};

} // namespace standin
