#include <database/slot_member.hpp>

#include <database/refusal.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace standin
{

namespace core = plantainward::core;
using core::error_kind;
using upstream::run_outcome;
using upstream::run_result;
using upstream::verb;

namespace
{

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

upstream::log_point slot_member::last_point() const
{
    if (m_log.empty())
        return {};
    return {m_log.back().term, m_log.size()};
}

upstream::slot_status slot_member::status() const
{
    upstream::slot_status result;
    result.slot = m_slot;
    result.acting = m_role;
    result.granted = m_granted_term;
    result.last = last_point();
    return result;
}

bool slot_member::grant(upstream::term_number term, const std::string& claimant)
{
    if (term < m_granted_term ||
        (term == m_granted_term && claimant != m_claimant))
        return false;
    if (term == m_granted_term)
        return true;
    m_granted_term = term;
    m_claimant = claimant;
    m_role = upstream::role::none;
    return true;
}

bool slot_member::promote(upstream::term_number term,
                          const std::string& claimant)
{
    if (term != m_granted_term || claimant != m_claimant)
        return false;
    if (m_promoted_term == term)
        return m_role == upstream::role::primary;
    m_promoted_term = term;
    m_role = upstream::role::primary;
    log_entry first;
    first.term = term;
    append(std::move(first));
    return true;
}

bool slot_member::follow(upstream::term_number term)
{
    if (term < m_granted_term || m_promoted_term == term)
        return false;
    if (term > m_granted_term)
    {
        m_granted_term = term;
        m_claimant.clear();
    }
    m_role = upstream::role::replica;
    return true;
}

bool slot_member::is_primary_at(upstream::term_number term) const
{
    return m_role == upstream::role::primary && m_granted_term == term;
}

std::optional<run_result>
slot_member::refuse_write(const upstream::run_order& order) const
{
    if (is_primary_at(order.term))
        return std::nullopt;
    return refuse(error_kind::wrong_term,
                  "granted term " + std::to_string(m_granted_term));
}

std::optional<run_result>
slot_member::refuse_read(const upstream::run_order& order) const
{
    const bool replica_at_term = m_role == upstream::role::replica &&
                                 m_granted_term == order.term &&
                                 last_point().term == order.term;
    if (!is_primary_at(order.term) && !replica_at_term)
        return refuse(error_kind::wrong_term,
                      "granted term " + std::to_string(m_granted_term));
    if (last_point() < order.at_least)
        return refuse(error_kind::too_stale,
                      "log ends at " + upstream::to_string(last_point()));
    return std::nullopt;
}

std::optional<run_result>
slot_member::recorded_result(const upstream::run_order& order) const
{
    if (order.id.empty())
        return std::nullopt;
    const auto found = m_entries_by_id.find(order.id);
    if (found == m_entries_by_id.end())
        return std::nullopt;
    const auto& entry = m_log[found->second];
    const bool any_content =
        order.kind == upstream::run_kind::settle && order.digest.empty();
    if (!entry.voids_id && !any_content && entry.digest != order.digest)
        return refuse(error_kind::id_reused,
                      "the id was used with other content");
    run_result result;
    result.outcome = run_outcome::answered;
    result.answer.results = entry.results;
    result.answer.seen = last_point();
    result.answer.replayed = !entry.voids_id;
    result.answer.voided = entry.voids_id;
    return result;
}

std::optional<std::string>
slot_member::read_key(const std::string& key,
                      open_transaction& transaction) const
{
    const auto own = transaction.writes.find(key);
    if (own != transaction.writes.end())
        return own->second;
    transaction.read_keys.emplace_back(key, m_log.size());
    const auto found = m_data.find(key);
    return found == m_data.end() ? std::nullopt : found->second.value;
}

upstream::statement_result
slot_member::list(const std::string& prefix,
                  open_transaction& transaction) const
{
    transaction.read_prefixes.emplace_back(prefix, m_log.size());
    std::map<std::string, std::optional<std::string>> values;
    for (auto it = m_data.lower_bound(prefix);
         it != m_data.end() && starts_with(it->first, prefix); ++it)
        values[it->first] = it->second.value;
    for (const auto& [key, value] : transaction.writes)
    {
        if (!starts_with(key, prefix))
            continue;
        values[key] = value;
    }
    upstream::statement_result result;
    for (const auto& [key, value] : values)
    {
        if (!value)
            continue;
        result.rows.push_back({key, *value});
    }
    return result;
}

std::optional<upstream::statement_result>
slot_member::apply(const upstream::statement& statement,
                   open_transaction& transaction) const
{
    upstream::statement_result result;
    if (statement.operation == verb::list)
        return list(statement.key, transaction);
    if (statement.operation == verb::put)
    {
        transaction.writes[statement.key] = statement.value;
        return result;
    }
    if (statement.operation == verb::remove)
    {
        transaction.writes[statement.key] = std::nullopt;
        return result;
    }
    const auto current = read_key(statement.key, transaction);
    if (statement.operation == verb::put_if_absent)
    {
        if (current)
            return std::nullopt;
        transaction.writes[statement.key] = statement.value;
        return result;
    }
    if (statement.operation == verb::get)
    {
        if (current)
            result.rows.push_back({statement.key, *current});
        return result;
    }
    std::int64_t number = 0;
    if (current)
        std::from_chars(current->data(), current->data() + current->size(),
                        number);
    const auto sum = std::to_string(number + statement.amount);
    transaction.writes[statement.key] = sum;
    result.rows.push_back({statement.key, sum});
    return result;
}

run_result slot_member::one_shot(const upstream::run_order& order)
{
    const bool read_only =
        std::all_of(order.statements.begin(), order.statements.end(),
                    [](const upstream::statement& statement) {
                        return is_read(statement.operation);
                    });
    if (read_only && order.id.empty())
    {
        if (auto refused = refuse_read(order))
            return *refused;
        open_transaction transaction;
        return execute(order, transaction);
    }
    if (auto refused = refuse_write(order))
        return *refused;
    if (auto earlier_result = recorded_result(order))
        return *earlier_result;
    open_transaction transaction;
    auto result = execute(order, transaction);
    if (result.outcome != run_outcome::answered)
        return result;
    transaction.results = std::move(result.answer.results);
    return commit(order, transaction);
}

run_result slot_member::begin(const upstream::run_order& order,
                              open_transaction& transaction) const
{
    if (auto refused = refuse_write(order))
        return *refused;
    transaction.slot = m_slot;
    transaction.term = order.term;
    run_result result;
    result.outcome = run_outcome::answered;
    result.answer.seen = last_point();
    result.answer.in_transaction = true;
    return result;
}

run_result slot_member::execute(const upstream::run_order& order,
                                open_transaction& transaction) const
{
    run_result result;
    for (const auto& statement : order.statements)
    {
        auto statement_result = apply(statement, transaction);
        if (!statement_result)
            return refuse(error_kind::statement_failed,
                          "key '" + statement.key + "' is present");
        result.answer.results.push_back(std::move(*statement_result));
    }
    result.outcome = run_outcome::answered;
    result.answer.seen = last_point();
    return result;
}

bool slot_member::has_conflict(const open_transaction& transaction) const
{
    for (const auto& [key, read_at] : transaction.read_keys)
    {
        const auto found = m_data.find(key);
        if (found != m_data.end() && found->second.written_at > read_at)
            return true;
    }
    for (const auto& [prefix, read_at] : transaction.read_prefixes)
        for (auto it = m_data.lower_bound(prefix);
             it != m_data.end() && starts_with(it->first, prefix); ++it)
            if (it->second.written_at > read_at)
                return true;
    return false;
}

run_result slot_member::commit(const upstream::run_order& order,
                               open_transaction& transaction)
{
    if (auto refused = refuse_write(order))
        return *refused;
    if (auto earlier_result = recorded_result(order))
        return *earlier_result;
    if (has_conflict(transaction))
        return refuse(error_kind::conflict,
                      "data read by the transaction has changed");
    log_entry entry;
    entry.term = order.term;
    entry.id = order.id;
    entry.digest = order.digest;
    entry.results = std::move(transaction.results);
    for (auto& [key, value] : transaction.writes)
        entry.writes.emplace_back(key, std::move(value));
    if (entry.writes.empty() && entry.id.empty())
    {
        run_result result;
        result.outcome = run_outcome::answered;
        result.answer.results = std::move(entry.results);
        result.answer.seen = last_point();
        return result;
    }
    return append(std::move(entry));
}

run_result slot_member::settle(const upstream::run_order& order)
{
    if (auto refused = refuse_write(order))
        return *refused;
    if (auto earlier_result = recorded_result(order))
        return *earlier_result;
    log_entry entry;
    entry.term = order.term;
    entry.id = order.id;
    entry.digest = order.digest;
    entry.voids_id = true;
    auto result = append(std::move(entry));
    result.answer.voided = true;
    return result;
}

run_result slot_member::append(log_entry entry)
{
    run_result result;
    result.outcome = run_outcome::answered;
    result.answer.results = entry.results;
    apply_writes(entry);
    if (m_term_ends.empty() || m_term_ends.back().term != entry.term)
        m_term_ends.push_back({entry.term, 0});
    m_log.push_back(std::move(entry));
    m_term_ends.back().position = m_log.size();
    result.answer.seen = last_point();
    return result;
}

void slot_member::apply_writes(const log_entry& entry)
{
    const auto position = m_log.size() + 1;
    for (const auto& [key, value] : entry.writes)
        m_data[key] = version{value, position};
    if (!entry.id.empty())
        m_entries_by_id[entry.id] = m_log.size();
}

void slot_member::truncate(upstream::log_position length)
{
    if (length >= m_log.size())
        return;
    auto kept = std::move(m_log);
    kept.resize(length);
    m_log.clear();
    m_data.clear();
    m_entries_by_id.clear();
    m_term_ends.clear();
    for (auto& entry : kept)
        append(std::move(entry));
}

pull_order slot_member::make_pull() const
{
    pull_order order;
    order.slot = m_slot;
    order.term = m_granted_term;
    order.term_ends = m_term_ends;
    return order;
}

upstream::log_position slot_member::common_prefix_length(
    const std::vector<upstream::log_point>& term_ends) const
{
    upstream::log_position common = 0;
    const auto term_count = std::min(term_ends.size(), m_term_ends.size());
    for (std::size_t i = 0; i < term_count; ++i)
    {
        if (term_ends[i].term != m_term_ends[i].term)
            break;
        common = std::min(term_ends[i].position, m_term_ends[i].position);
        if (term_ends[i].position != m_term_ends[i].position)
            break;
    }
    return common;
}

pull_reply slot_member::serve_pull(const pull_order& order,
                                   upstream::log_position visible,
                                   std::size_t max_entries) const
{
    pull_reply reply;
    reply.term = order.term;
    if (m_promoted_term != order.term)
        return reply;
    reply.accepted = true;
    reply.common = common_prefix_length(order.term_ends);
    const auto end = std::min<upstream::log_position>(
        {visible, m_log.size(), reply.common + max_entries});
    for (auto i = reply.common; i < end; ++i)
        reply.entries.push_back(m_log[i]);
    return reply;
}

bool slot_member::apply_pull(const pull_reply& reply)
{
    if (!reply.accepted || reply.term != m_granted_term ||
        m_role != upstream::role::replica || reply.common > m_log.size())
        return false;
    truncate(reply.common);
    for (const auto& entry : reply.entries)
        append(entry);
    return true;
}

} // namespace standin
