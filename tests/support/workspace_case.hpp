#pragma once

#include <support/pooler_case.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace support
{

/// A pooler that runs statements which another host forwarded for callers of
/// several workspaces, and checks that each ran under its own workspace.
struct workspace_case : pooler_case
{
    workspace_case()
    {
        set_workspaces({"a", "b", "c"});
        pool.set_plan("ledger", {2, {}, {}});
    }

    /// Puts a routing into force that has these workspaces.
    void set_workspaces(const std::vector<std::string>& names)
    {
        auto routing = pool.routing();
        ++routing.version;
        routing.has_workspaces = true;
        routing.workspaces.clear();
        for (const auto& name : names)
            routing.workspaces[name] = {name, 0, {}};
        CHECK(pool.set_routing(routing, now));
    }

    /// Runs a statement that the host "front" forwarded for a workspace, and
    /// returns its operation.
    operation_id run(const std::string& workspace,
                     const std::string& database = "cards",
                     transaction_part part = transaction_part::none,
                     operation_id operation = 0)
    {
        forwarded_work work;
        work.statement.kind = statement_kind::read;
        work.statement.id = "q" + std::to_string(++last_id);
        work.statement.text = "READ " + workspace;
        work.route = pool.routing().routes.at(database);
        work.workspace = workspace;
        work.part = part;
        work.time_left = millis(800);
        if (operation == 0)
            operation = ++last_operation;
        record(pool.run_forwarded("front", operation, work, now));
        return operation;
    }

    /// Records actions; fails when a statement is sent on a connection of
    /// another workspace than the one that its text names.
    void record(const actions& new_actions)
    {
        for (const auto& action : new_actions)
        {
            if (const auto* open = std::get_if<open_action>(&action))
                workspace_of[open->connection] = open->workspace;
            if (const auto* send = std::get_if<send_action>(&action))
                check_workspace(*send);
            if (const auto* reply =
                    std::get_if<forwarded_reply_action>(&action))
                remote_replies.push_back(reply->reply);
        }
        apply(new_actions);
    }

    void check_workspace(const send_action& action)
    {
        for (const auto& command : action.commands)
            if (command.text.starts_with("READ "))
                STRCMP_EQUAL(workspace_of.at(action.connection).c_str(),
                             command.text.substr(5).c_str());
    }

    /// Reports a connection as open; the last requested one by default.
    connection_id finish_open(connection_id id = 0)
    {
        if (id == 0)
            id = opened.back().connection;
        record(pool.on_opened(id, upstream::log_point{1, 10}, now));
        return id;
    }

    void finish(connection_id id,
                transaction_state state = transaction_state::idle)
    {
        sql::command_answer answer;
        answer.signature = "s";
        answer.state = state;
        answer.position = upstream::log_point{1, 10};
        record(pool.on_answer(id, answer, now));
    }

    void refuse(connection_id id, refusal error)
    {
        sql::command_answer answer;
        answer.error = error;
        record(pool.on_answer(id, answer, now));
    }

    /// Opens a connection for a workspace and leaves it idle.
    connection_id add_idle(const std::string& workspace)
    {
        now += millis(1);
        run(workspace);
        const auto id = finish_open();
        finish(id);
        return id;
    }

    void tick(millis time)
    {
        now += time;
        record(pool.tick(now));
    }

    /// Connections that were requested at the primary; replicas are probed too.
    std::vector<open_action> opened_at_primary() const
    {
        std::vector<open_action> result;
        for (const auto& open : opened)
            if (open.upstream.id == "p")
                result.push_back(open);
        return result;
    }

    bool is_closed(connection_id id) const
    {
        return std::find(closed.begin(), closed.end(), id) != closed.end();
    }

    std::map<connection_id, std::string> workspace_of;
    std::vector<forwarded_reply> remote_replies;
    operation_id last_operation{0};
};

} // namespace support
