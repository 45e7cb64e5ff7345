// A session's own commits on routes that move between services.

#include <support/pooler_case.hpp>

#include <algorithm>
#include <optional>

using namespace support;

namespace
{

/// Sessions on a route with session consistency, which can be moved. Each
/// service has the primary "p" and the replica "r", whose ids end in the
/// service's name.
struct moving_route_case : pooler_case
{
    static constexpr session_id caller = 1;

    moving_route_case()
    {
        move_to("ledger");
        open_session(caller, "status");
    }

    /// Moves the route by a new version of the routing that has both services.
    void move_to(const std::string& service)
    {
        routes::routing routing;
        routing.version = ++m_version + 1;
        m_services.insert(service);
        for (const auto& name : m_services)
            routing.services[name].max_connections = 30;
        add_route(routing, "status", routes::read_consistency::session);
        routing.routes["status"].service = service;
        pool.set_routing(routing, now);
        update_services();
    }

    /// Leaves out a service, and the databases that it has.
    void remove(const std::string& service, const std::string& route_target)
    {
        m_services.erase(service);
        move_to(route_target);
    }

    void add_watermark(const std::string& service, std::uint64_t number)
    {
        pool.add_watermark(service, {now - millis(200), {1, number}});
    }

    /// Runs the statement that was submitted last, to its end.
    void run(std::uint64_t position,
             transaction_state state = transaction_state::idle)
    {
        open_requested();
        now += millis(15);
        succeed(sent.back().connection, state, position);
    }

    void commit_at(std::uint64_t position)
    {
        submit(caller, statement_kind::write, "WRITE a 1");
        run(position);
    }

    /// The log point that a read requires; empty when it runs at the primary.
    std::optional<upstream::log_point> point_of_read()
    {
        submit(caller, statement_kind::read, "READ a");
        open_requested();
        const auto after = last_command().after;
        succeed(sent.back().connection);
        return after;
    }

private:
    void open_requested()
    {
        for (; m_completed < opened.size(); ++m_completed)
            apply(pool.on_opened(opened[m_completed].connection,
                                 upstream::log_point{1, 10}, now));
    }

    void update_services()
    {
        std::vector<routes::upstream> databases;
        for (const auto& service : m_services)
            for (const char* role : {"p", "r"})
            {
                auto database = upstream(role);
                database.id = role + ("-" + service);
                database.service = service;
                database.address = {database.id, 1};
                databases.push_back(database);
            }
        apply(pool.set_upstreams(databases, now));
        for (const auto& service : m_services)
        {
            pool.set_plan(service, {2, {}, {}});
            apply(pool.set_primary(service, "p-" + service,
                                   now + millis(100'000), now));
        }
    }

    std::uint64_t m_version{1};
    std::set<std::string> m_services;
    std::size_t m_completed{0};
};

} // namespace

TEST_GROUP(own_commit)
{
    moving_route_case c;
};

// Failure: the commit at the second service replaced that at the first one, and
// a read ran on a replica that lacked the session's own commit.
TEST(own_commit, a_session_sees_its_commit_after_its_route_moved_and_came_back)
{
    c.add_watermark("ledger", 42);
    c.commit_at(50);
    c.move_to("archive");
    c.commit_at(7);
    c.move_to("ledger");
    CHECK((c.point_of_read() == upstream::log_point{1, 50}));
}

// Failure: the position of a commit at another service was waited for, which no
// replica of this one ever reaches.
TEST(own_commit, a_commit_at_another_service_requires_no_position)
{
    c.commit_at(50);
    c.move_to("archive");
    c.add_watermark("archive", 3);
    CHECK((c.point_of_read() == upstream::log_point{1, 3}));
}

// Failure: each of many moves overwrote what the session had committed before.
TEST(own_commit, a_session_that_alternates_between_services_sees_every_commit)
{
    c.add_watermark("ledger", 42);
    std::uint64_t position = 50;
    for (int i = 0; i < 3; ++i)
    {
        c.move_to("archive");
        c.commit_at(7);
        c.move_to("ledger");
        c.commit_at(++position);
    }
    c.move_to("archive");
    c.commit_at(8);
    c.move_to("ledger");
    CHECK((c.point_of_read() == upstream::log_point{1, position}));
}

// Failure: the commit of a transaction counted for the service to which its
// route had moved meanwhile.
TEST(own_commit, a_transaction_commits_at_the_service_where_it_began)
{
    c.add_watermark("ledger", 42);
    c.submit(c.caller, statement_kind::begin, "BEGIN");
    c.submit(c.caller, statement_kind::write, "WRITE a 1");
    c.run(49, transaction_state::open);
    c.succeed(c.sent.back().connection, transaction_state::open, 49);
    c.move_to("archive");
    c.submit(c.caller, statement_kind::commit, "COMMIT");
    c.run(50);
    c.add_watermark("archive", 3);
    CHECK((c.point_of_read() == upstream::log_point{1, 3}));
    c.move_to("ledger");
    CHECK((c.point_of_read() == upstream::log_point{1, 50}));
}

// Failure: a service that was left out of the routing for a moment kept its
// databases and their logs, and the session's commit there was forgotten.
TEST(own_commit, a_session_sees_its_commit_at_a_service_that_was_removed)
{
    c.add_watermark("ledger", 42);
    c.commit_at(50);
    c.remove("ledger", "archive");
    c.commit_at(7);
    c.move_to("ledger");
    CHECK((c.point_of_read() == upstream::log_point{1, 50}));
}

// Failure: a session on more services than it keeps commits for read at a
// replica without waiting for the ones that it dropped.
TEST(own_commit, a_read_runs_at_the_primary_when_its_commit_is_not_kept)
{
    c.add_watermark("ledger", 42);
    c.commit_at(50);
    for (int i = 0; i < 40; ++i)
    {
        c.now += millis(1);
        c.move_to("archive-" + std::to_string(i));
        c.commit_at(7);
    }
    c.move_to("ledger");
    CHECK_FALSE(c.point_of_read().has_value());
    // Once a watermark covers the commit, replicas serve again.
    c.now += millis(2000);
    c.add_watermark("ledger", 60);
    CHECK((c.point_of_read() == upstream::log_point{1, 60}));
}
