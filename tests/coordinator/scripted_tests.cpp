#include <plantainward/coordinator/service_coordinator.hpp>
#include <support/simulation.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;
using coordinator::action;

namespace
{

/// A coordinator whose databases give the answers that the test passes in.
class scripted_upstreams
{
public:
    scripted_upstreams() : m_coordinator(make_layout(), make_options())
    {
        for (std::size_t i = 0; i < 3; ++i)
            carry_out(m_coordinator.on_status(i, {status_of(i)}, m_now, m_now));
        open_all();
    }

    void submit(coordinator::caller_request request)
    {
        carry_out(m_coordinator.submit(++m_number, std::move(request), m_now));
    }

    void answer(const upstream::run_result& result)
    {
        carry_out(m_coordinator.on_run(last_run, result, m_now));
    }

    /// Reports that all databases have reached this log position.
    void confirm(upstream::log_position position)
    {
        m_now += core::millis(5);
        for (std::size_t i = 0; i < 3; ++i)
        {
            auto status = status_of(i);
            status.last.position = position;
            carry_out(m_coordinator.on_status(i, {status}, m_now, m_now));
        }
    }

    void carry_out(const coordinator::actions& requested)
    {
        for (const auto& item : requested)
        {
            if (const auto* run = std::get_if<coordinator::run_action>(&item))
            {
                last_run = run->connection;
                ++runs;
            }
            if (const auto* open = std::get_if<coordinator::open_action>(&item))
                m_opening.push_back(open->connection);
            if (const auto* closing =
                    std::get_if<coordinator::close_action>(&item))
                closed.insert(closing->connection);
            if (const auto* reply_action =
                    std::get_if<coordinator::answer_action>(&item))
                replies.push_back(reply_action->reply);
        }
    }

    upstream::connection_number last_run{0};
    int runs{0};
    std::set<upstream::connection_number> closed;
    std::vector<coordinator::caller_reply> replies;

private:
    static upstream::service_layout make_layout()
    {
        upstream::service_layout layout;
        layout.name = "service";
        for (int i = 0; i < 3; ++i)
            layout.databases.push_back({"db-" + std::to_string(i),
                                        {"127.0.0.1", 1},
                                        "domain",
                                        1,
                                        false});
        return layout;
    }

    static coordinator::coordinator_options make_options()
    {
        coordinator::coordinator_options options;
        options.instance = "host.1";
        return options;
    }

    static upstream::slot_status status_of(std::size_t member)
    {
        upstream::slot_status status;
        status.acting =
            member == 0 ? upstream::role::primary : upstream::role::replica;
        status.granted = 1;
        status.last = {1, 1};
        return status;
    }

    void open_all()
    {
        carry_out(m_coordinator.on_tick(m_now));
        for (const auto number : std::exchange(m_opening, {}))
            carry_out(m_coordinator.on_opened(
                number, upstream::open_outcome::opened, m_now));
    }

    core::instant m_now{core::instant{} + core::millis(1'000'000)};
    coordinator::service_coordinator m_coordinator;
    coordinator::request_number m_number{0};
    std::vector<upstream::connection_number> m_opening;
};

upstream::run_result answered(upstream::log_position position,
                              bool in_transaction)
{
    upstream::run_result result;
    result.outcome = upstream::run_outcome::answered;
    result.answer.seen = {1, position};
    result.answer.in_transaction = in_transaction;
    return result;
}

coordinator::caller_request write()
{
    return make_request({{upstream::verb::put, "key", "value", 0}});
}

} // namespace

// Guards against answers that are sent before they are confirmed, and against
// connections that are reused while a transaction is open on them.
TEST_GROUP(scripted_upstream){};

TEST(scripted_upstream, a_connection_with_an_open_transaction_is_not_reused)
{
    scripted_upstreams upstreams;
    upstreams.submit(write());
    const auto used = upstreams.last_run;
    upstreams.answer(answered(2, true));
    CHECK(upstreams.closed.contains(used));
    upstreams.submit(write());
    CHECK(upstreams.runs == 1 || upstreams.last_run != used);
}

TEST(scripted_upstream, a_clean_connection_is_reused)
{
    scripted_upstreams upstreams;
    upstreams.submit(write());
    const auto used = upstreams.last_run;
    upstreams.answer(answered(2, false));
    upstreams.submit(write());
    LONGS_EQUAL(2, upstreams.runs);
    LONGS_EQUAL(used, upstreams.last_run);
}

TEST(scripted_upstream, an_answer_waits_for_its_confirmation)
{
    scripted_upstreams upstreams;
    upstreams.submit(write());
    upstreams.answer(answered(2, false));
    LONGS_EQUAL(0, upstreams.replies.size());
    upstreams.confirm(1);
    LONGS_EQUAL(0, upstreams.replies.size());
    upstreams.confirm(2);
    LONGS_EQUAL(1, upstreams.replies.size());
    CHECK_FALSE(upstreams.replies[0].error.has_value());
    // Each confirm() takes 5 ms, and the second one confirmed.
    DOUBLES_EQUAL(10, upstreams.replies[0].confirmation_ms, 0.1);
    DOUBLES_EQUAL(0, upstreams.replies[0].queue_ms, 0.1);
}

TEST(scripted_upstream, a_second_answer_to_the_same_order_is_ignored)
{
    scripted_upstreams upstreams;
    upstreams.submit(write());
    upstreams.answer(answered(2, false));
    upstreams.confirm(2);
    upstreams.answer(answered(3, false));
    upstreams.confirm(3);
    LONGS_EQUAL(1, upstreams.replies.size());
}
