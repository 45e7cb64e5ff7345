#include <plantainward/pooling/pooler.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace plantainward;
using namespace plantainward::pooling;
using core::boot_instant;
using core::millis;

namespace
{

/// Three holders, of which workspace "a" prefers "h1", then "h2", then "h3",
/// and a host without connections ("front"). Messages are delivered at once.
struct holder_case
{
    holder_case()
    {
        for (const char* name : {"front", "h1", "h2", "h3"})
            add(name);
    }

    static routes::routing routing()
    {
        routes::routing table;
        table.version = 1;
        table.services["ledger"].max_connections = 30;
        table.has_workspaces = true;
        for (const char* name : {"a", "b"})
        {
            table.workspaces[name] = {name, 0, {}};
            table.workspace_by_key_digest[std::string("key of ") + name] = name;
        }
        routes::route route;
        route.database = "cards";
        route.service = "ledger";
        route.timeout = millis(800);
        table.routes["cards"] = route;
        return table;
    }

    void add(const std::string& name)
    {
        auto& pool = *(hosts[name] = std::make_unique<pooler>(
                           pooler_options{"a", millis(3000)}));
        pool.set_routing(routing(), now);
        pool.set_upstreams({{"p", "ledger", {"p", 1}, "a", false, true, 1}},
                           now);
        pool.set_primary("ledger", "p", now + millis(100'000), now);
        set_order(name, {"h1", "h2", "h3"});
        CHECK(pool.open_session(1, "cards", "key of a", now) ==
              open_result::opened);
    }

    void set_order(const std::string& name,
                   const std::vector<std::string>& order)
    {
        const auto compute = [this, name, order](const std::string&) {
            ++computed;
            delegation result;
            const auto self = std::find(order.begin(), order.end(), name);
            result.preferred.assign(order.begin(), self);
            result.runs_here = self != order.end();
            if (result.runs_here)
                result.fallback.assign(std::next(self), order.end());
            return result;
        };
        connection_plan plan;
        plan.share = name == "front" ? 0 : 2;
        if (name == "front")
            plan.delegates = {"h3", "h2", "h1"};
        plan.by_workspace = workspace_delegations(compute);
        hosts.at(name)->set_plan("ledger", plan);
    }

    void submit(const std::string& name)
    {
        sql::statement statement;
        statement.kind = sql::statement_kind::read;
        statement.id = "q" + std::to_string(++last_id);
        statement.text = "READ a";
        apply(name, hosts.at(name)->on_statement(1, statement, now));
    }

    void apply(const std::string& name, const actions& new_actions)
    {
        for (const auto& action : new_actions)
        {
            if (const auto* open = std::get_if<open_action>(&action))
            {
                opened.push_back(name + " for " + open->workspace);
                last_open = {name, open->connection};
            }
            if (const auto* forward = std::get_if<forward_action>(&action))
                deliver(name, *forward);
            if (const auto* reply =
                    std::get_if<forwarded_reply_action>(&action))
                apply(reply->host, hosts.at(reply->host)
                                       ->on_forwarded_reply(1, reply->operation,
                                                            reply->reply, now));
        }
    }

    void deliver(const std::string& from, const forward_action& action)
    {
        hops.push_back(from + " to " + action.host);
        if (lost.contains(action.host))
            return apply(from, hosts.at(from)->on_forward_lost(
                                   1, action.operation, false, now));
        apply(action.host,
              hosts.at(action.host)
                  ->run_forwarded(from, action.operation, action.work, now));
    }

    boot_instant now{std::chrono::seconds(100)};
    std::map<std::string, std::unique_ptr<pooler>> hosts;
    std::set<std::string> lost;
    std::vector<std::string> hops;
    std::vector<std::string> opened;
    std::pair<std::string, connection_id> last_open;
    int computed{0};
    int last_id{0};
};

} // namespace

TEST_GROUP(workspace_forwarding)
{
    holder_case c;
};

TEST(workspace_forwarding, work_goes_to_the_first_holder_of_the_workspace)
{
    // Failure: the delegates of the host were used, whatever the workspace.
    c.submit("front");
    LONGS_EQUAL(1, c.hops.size());
    STRCMP_EQUAL("front to h1", c.hops[0].c_str());
    STRCMP_EQUAL("h1 for a", c.opened.back().c_str());
}

TEST(workspace_forwarding, a_holder_forwards_work_of_another_holders_workspace)
{
    // Failure: each holder opened connections for the workspaces of all its
    // callers.
    c.submit("h2");
    LONGS_EQUAL(1, c.hops.size());
    STRCMP_EQUAL("h2 to h1", c.hops[0].c_str());
    LONGS_EQUAL(1, c.opened.size());
    STRCMP_EQUAL("h1 for a", c.opened[0].c_str());
}

TEST(workspace_forwarding, the_first_holder_runs_its_callers_work_itself)
{
    // Failure: work was forwarded without need.
    c.submit("h1");
    LONGS_EQUAL(0, c.hops.size());
    STRCMP_EQUAL("h1 for a", c.opened.back().c_str());
}

TEST(workspace_forwarding, work_takes_one_hop_when_hosts_disagree)
{
    // Failure: two hosts that knew different members forwarded a statement to
    // each other until its deadline.
    c.set_order("h1", {"h2", "h1", "h3"});
    c.submit("front");
    LONGS_EQUAL(1, c.hops.size());
    STRCMP_EQUAL("h1 for a", c.opened.back().c_str());
}

TEST(workspace_forwarding, the_next_holder_takes_over_for_a_lost_one)
{
    // Failure: callers of a workspace were refused while its holder was lost.
    c.lost = {"h1"};
    c.submit("front");
    c.apply("front", c.hosts["front"]->tick(c.now));
    LONGS_EQUAL(2, c.hops.size());
    STRCMP_EQUAL("front to h1", c.hops[0].c_str());
    STRCMP_EQUAL("front to h2", c.hops[1].c_str());
    STRCMP_EQUAL("h2 for a", c.opened.back().c_str());
}

TEST(workspace_forwarding, the_next_holder_takes_over_for_one_that_refuses)
{
    // Failure: as above, for a holder that is stopping.
    c.hosts["h1"]->advance_drain(drain_stage::announced, c.now);
    c.submit("front");
    LONGS_EQUAL(2, c.hops.size());
    STRCMP_EQUAL("front to h2", c.hops[1].c_str());
}

TEST(workspace_forwarding, a_holder_runs_the_work_when_those_before_it_are_lost)
{
    // Failure: a host with connections refused work that it could run.
    c.lost = {"h1"};
    c.submit("h2");
    c.apply("h2", c.hosts["h2"]->tick(c.now));
    LONGS_EQUAL(1, c.hops.size());
    STRCMP_EQUAL("h2 for a", c.opened.back().c_str());
}

TEST(workspace_forwarding, the_order_of_a_workspace_is_computed_once_for_a_plan)
{
    // Failure: a small host sorted the holders for each statement.
    c.submit("h1");
    c.apply("h1", c.hosts["h1"]->on_opened(c.last_open.second,
                                           upstream::log_point{1, 10}, c.now));
    c.submit("h1");
    c.submit("h1");
    LONGS_EQUAL(1, c.computed);
    c.set_order("h1", {"h3", "h1", "h2"});
    c.hosts["h1"]->close_session(1, c.now);
    CHECK(c.hosts["h1"]->open_session(1, "cards", "key of a", c.now) ==
          open_result::opened);
    c.submit("h1");
    LONGS_EQUAL(2, c.computed);
    STRCMP_EQUAL("h1 to h3", c.hops.back().c_str());
}

TEST(workspace_forwarding, work_without_a_workspace_uses_the_hosts_delegates)
{
    // Failure: callers of public routes were all forwarded to one holder.
    auto routing = c.hosts["front"]->routing();
    ++routing.version;
    routing.routes["cards"].is_public = true;
    CHECK(c.hosts["front"]->set_routing(routing, c.now));
    c.hosts["front"]->close_session(1, c.now);
    CHECK(c.hosts["front"]->open_session(1, "cards", {}, c.now) ==
          open_result::opened);
    c.submit("front");
    STRCMP_EQUAL("front to h3", c.hops.back().c_str());
    LONGS_EQUAL(0, c.computed);
}
