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
    /// Keys and prefixes read, with the log length at that moment.
    std::vector<std::pair<std::string, upstream::log_position>> read_keys;
    std::vector<std::pair<std::string, upstream::log_position>> read_prefixes;
    std::map<std::string, std::optional<std::string>> writes;
    std::vector<upstream::statement_result> results;
};

/// A database's part in one group: its log, its data and its term.
class slot_member
{
public:
    explicit slot_member(int slot) : m_slot(slot) {}

    upstream::slot_status status() const;

    bool grant(upstream::term_number term, const std::string& claimant);
    bool promote(upstream::term_number term, const std::string& claimant);
    bool follow(upstream::term_number term);

    upstream::run_result one_shot(const upstream::run_order& order);
    upstream::run_result begin(const upstream::run_order& order,
                               open_transaction& transaction) const;
    upstream::run_result execute(const upstream::run_order& order,
                                 open_transaction& transaction) const;
    upstream::run_result commit(const upstream::run_order& order,
                                open_transaction& transaction);
    upstream::run_result settle(const upstream::run_order& order);

    pull_order make_pull() const;
    /// The entries after the common prefix, up to the visible length.
    pull_reply serve_pull(const pull_order& order,
                          upstream::log_position visible,
                          std::size_t max_entries) const;
    /// Takes pulled entries; false when they are of a superseded term.
    bool apply_pull(const pull_reply& reply);

    /// The committed entries, for checks.
    const std::vector<log_entry>& log() const { return m_log; }

private:
    struct version
    {
        std::optional<std::string> value;
        upstream::log_position written_at{0};
    };

    upstream::log_point last() const;
    upstream::log_position
    common_with(const std::vector<upstream::log_point>& ends) const;
    bool is_primary_at(upstream::term_number term) const;
    std::optional<upstream::run_result>
    refuse_write(const upstream::run_order& order) const;
    std::optional<upstream::run_result>
    refuse_read(const upstream::run_order& order) const;
    std::optional<upstream::run_result>
    recorded(const upstream::run_order& order) const;
    std::optional<upstream::statement_result>
    apply(const upstream::statement& one, open_transaction& transaction) const;
    std::optional<std::string> read_key(const std::string& key,
                                        open_transaction& transaction) const;
    upstream::statement_result list(const std::string& prefix,
                                    open_transaction& transaction) const;
    bool has_conflict(const open_transaction& transaction) const;
    upstream::run_result append(log_entry entry);
    void install(const log_entry& entry);
    void truncate(upstream::log_position length);

    int m_slot;
    upstream::role m_role{upstream::role::none};
    upstream::term_number m_granted{0};
    std::string m_claimant;
    /// Term at which this member was last promoted.
    upstream::term_number m_promoted{0};
    std::vector<log_entry> m_log;
    /// The last log point of each term in the log, oldest first.
    std::vector<upstream::log_point> m_term_ends;
    std::map<std::string, version> m_data;
    std::unordered_map<std::string, std::size_t> m_ids;
};

} // namespace standin
