#include "checker.hpp"

#include "statement_text.hpp"

#include <algorithm>

namespace soak
{

namespace
{

constexpr std::size_t max_cases = 4;

} // namespace

checker::checker(const history& recorded, rule_bounds bounds)
    : m_history(recorded), m_bounds(bounds)
{
    index();
}

std::vector<finding> checker::check()
{
    for (const auto& item : m_history.runs)
    {
        if (item.id == "-")
        {
            check_own_statement(item);
            continue;
        }
        const auto found = m_requests.find(item.id);
        if (found == m_requests.end())
        {
            report("UNASKED", story("no caller sent this id", item, nullptr));
            continue;
        }
        check_statement(item, *found->second);
    }
    check_answers();
    check_effects();
    check_routes();
    check_openings();
    check_regress();
    check_staleness();
    return m_findings;
}

void checker::index()
{
    for (const auto& asked : m_history.requests)
    {
        m_requests[asked.id] = &asked;
        m_attempts[asked.attempt].push_back(&asked);
        if (asked.transaction != 0)
            m_transactions[asked.transaction].requests.push_back(&asked);
    }
    for (const auto& item : m_history.runs)
    {
        m_runs[item.id].push_back(&item);
        if (item.id != "-" && item.transaction != 0 &&
            needs_database(item.text))
            m_pinned[item.transaction].push_back(&item);
    }
    for (auto& [number, transaction] : m_transactions)
    {
        transaction.has_begun = transaction.requests.front()->code.empty();
        for (const auto* asked : transaction.requests)
        {
            if (!is_data_statement(asked->text))
                continue;
            transaction.first_statement = asked;
            break;
        }
        const auto* first = transaction.first_statement;
        const auto runs =
            first == nullptr ? m_runs.end() : m_runs.find(first->id);
        if (runs == m_runs.end())
            continue;
        auto& connections = transaction.first_connections;
        for (const auto* item : runs->second)
            if (has_run(*item) &&
                std::find(connections.begin(), connections.end(),
                          item->connection) == connections.end())
                connections.push_back(item->connection);
        if (connections.size() < 2)
            continue;
        report("PINNED (first statement ran twice)",
               story("the first statement of a transaction ran on several "
                     "connections",
                     *runs->second.back(), first));
        const auto end =
            m_history.transaction_ends.find(runs->second.front()->transaction);
        if (end == m_history.transaction_ends.end() ||
            end->second > runs->second.back()->arrived)
            report("PINNED (first statement ran twice, both open)",
                   story("its first transaction was open when the second copy "
                         "arrived",
                         *runs->second.back(), first));
    }
}

void checker::check_statement(const run& item, const request& asked)
{
    if (!asked.is_whole)
        report("UNASKED", story("the caller left before the end of the line",
                                item, &asked));
    check_text(item, asked);
    if (!has_run(item) || !needs_database(item.text))
        return;
    check_place(item, asked);
    check_session_state(item, asked);
    if (first_word(item.text) == "COMMIT")
        check_commit(item);
}

void checker::check_text(const run& item, const request& asked)
{
    if (item.arrived < asked.sent)
        report("UNASKED", story("it ran before it was sent", item, &asked));
    if (!is_same_statement(item.text, asked.text))
        report("UNASKED", story("the text was changed", item, &asked));
    if (item.after.empty())
        return;
    const auto word = first_word(item.text);
    if (word == "EXECUTE" && asked.shape.starts_with("READ "))
        report("note: AFTER before an EXECUTE that reads",
               story("the pages name READ and BEGIN", item, &asked), false);
    else if (word != "READ" && word != "BEGIN")
        report("UNASKED", story("AFTER before " + word, item, &asked));
}

void checker::check_place(const run& item, const request& asked)
{
    if (asked.transaction == 0)
    {
        if (item.transaction == 0)
            return;
        return report(
            "PINNED",
            story("a single statement ran inside a transaction", item, &asked));
    }
    const auto& transaction = m_transactions.at(asked.transaction);
    if (!transaction.has_begun)
        return;
    if (item.transaction == 0)
        return report("PINNED", story("a statement of a transaction ran "
                                      "outside of one",
                                      item, &asked));
    for (const auto* other : m_pinned.at(item.transaction))
    {
        const auto found = m_requests.find(other->id);
        if (found == m_requests.end() ||
            found->second->transaction == asked.transaction)
            continue;
        report("PINNED", story("it shares a transaction of the database with " +
                                   other->id + " of another transaction",
                               item, &asked));
        break;
    }
    const auto& connections = transaction.first_connections;
    if (transaction.first_statement == nullptr ||
        transaction.first_statement->id == asked.id || connections.empty())
        return;
    if (item.connection == connections.front())
        return;
    const bool is_second_copy =
        std::find(connections.begin(), connections.end(), item.connection) !=
        connections.end();
    report(is_second_copy ? "PINNED (after a first statement that ran twice)"
                          : "PINNED",
           story("it ran on another connection than the first statement", item,
                 &asked));
}

void checker::check_session_state(const run& item, const request& asked)
{
    if (first_word(item.text) == "COMMIT")
        return;
    const auto is_value_of = [](const auto& values, const auto& entry) {
        const auto found = values.find(entry.first);
        return found != values.end() && found->second == entry.second;
    };
    bool same = true;
    for (const auto& entry : item.values)
        same = same && (is_value_of(asked.values, entry) ||
                        is_value_of(asked.unanswered_values, entry));
    for (const auto& entry : asked.values)
        same = same && (is_value_of(item.values, entry) ||
                        asked.unanswered_values.contains(entry.first));
    if (!same)
        report("PINNED", story("the session values differ", item, &asked));
    if (first_word(item.text) == "EXECUTE" && item.shape != asked.shape)
        report("PINNED", story("the name ran `" + item.shape + "`, prepared `" +
                                   asked.shape + "`",
                               item, &asked));
}

void checker::check_own_statement(const run& item)
{
    if (is_data_statement(item.text))
        report("UNASKED",
               story("a read or write with the id `-`", item, nullptr));
    if (first_word(item.text) == "COMMIT" && has_run(item))
        check_commit(item);
}

void checker::check_commit(const run& item)
{
    if (!item.code.empty())
        return;
    const auto statements = m_pinned.find(item.transaction);
    if (item.transaction == 0 || statements == m_pinned.end())
        return;
    for (const auto* statement : statements->second)
    {
        const auto found = m_requests.find(statement->id);
        if (found == m_requests.end() || found->second->transaction == 0)
            continue;
        const auto& requests =
            m_transactions.at(found->second->transaction).requests;
        const bool was_asked =
            std::any_of(requests.begin(), requests.end(), [&](const auto* r) {
                return r->text == "COMMIT" && r->is_whole &&
                       r->sent <= item.arrived;
            });
        if (was_asked)
            continue;
        return report("UNASKED",
                      story("a commit that the caller has not asked for", item,
                            found->second));
    }
}

void checker::check_answers()
{
    for (const auto& asked : m_history.requests)
    {
        if (asked.answered == never)
            continue;
        if (asked.code == "NOSTMT" && !asked.shape.empty())
            report("PINNED",
                   "a prepared name is unknown: " + transaction_story(asked));
        if (!asked.code.empty() || !needs_database(asked.text))
            continue;
        const auto runs = m_runs.find(asked.id);
        const bool is_proved =
            runs != m_runs.end() &&
            std::any_of(runs->second.begin(), runs->second.end(),
                        [&](const run* item) {
                            return item->code.empty() && item->ended != never &&
                                   item->signature == asked.signature &&
                                   item->rows == asked.rows;
                        });
        if (!is_proved)
            report("MIXED",
                   "no run has the signature and rows of the answer `" +
                       asked.signature + "`: " + transaction_story(asked));
    }
    for (const auto& stray : m_history.stray_messages)
        if (!stray.line.starts_with("ERROR"))
            report("MIXED", "session " + std::to_string(stray.session) +
                                " got without a request: " + stray.line);
}

bool checker::is_in_touch(std::size_t host, instant moment) const
{
    const auto from = moment - from_ms(m_bounds.contact_ms);
    return std::none_of(
        m_history.disruptions.begin(), m_history.disruptions.end(),
        [&](const disruption& item) {
            const bool concerns = item.host == host ||
                                  item.host == disruption::store ||
                                  item.host == disruption::all_hosts;
            return concerns && item.from <= moment && item.to >= from;
        });
}

std::size_t checker::host_of(const std::string& sender) const
{
    const auto& names = m_history.host_names;
    const auto found = std::find(names.begin(), names.end(), sender);
    return static_cast<std::size_t>(found - names.begin());
}

instant checker::route_moment(const request& asked) const
{
    return asked.transaction == 0
               ? asked.sent
               : m_transactions.at(asked.transaction).requests.front()->sent;
}

void checker::report(const std::string& rule, const std::string& text,
                     bool is_broken_rule)
{
    auto found =
        std::find_if(m_findings.begin(), m_findings.end(),
                     [&](const finding& item) { return item.rule == rule; });
    if (found == m_findings.end())
        found = m_findings.insert(found, {rule, 0, {}, is_broken_rule});
    if (++found->count <= max_cases)
        found->cases.push_back(text);
}

} // namespace soak
