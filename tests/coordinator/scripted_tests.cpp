#include <plantainward/coordinator/service_coordinator.hpp>
#include <support/simulation.hpp>

#include <CppUTest/TestHarness.h>

using namespace support;
using coordinator::action;

namespace
{

/// A coordinator whose databases answer what the test says.
class scripted
{
public:
    scripted() : m_coordinator(make_layout(), make_options())
    {
        for (std::size_t i = 0; i < 3; ++i)
            take(m_coordinator.on_status(i, {status_of(i)}, m_now, m_now));
        open_all();
    }

    void submit(coordinator::caller_request request)
    {
        take(m_coordinator.submit(++m_number, std::move(request), m_now));
    }

    void answer(const upstream::run_result& result)
    {
        take(m_coordinator.on_run(last_run, result, m_now));
    }

    /// All replicas confirm what the primary has.
    void confirm(upstream::log_position position)
    {
        m_now += core::millis(5);
        for (std::size_t i = 0; i < 3; ++i)
        {
            auto status = status_of(i);
            status.last.position = position;
            take(m_coordinator.on_status(i, {status}, m_now, m_now));
        }
    }

    void take(const coordinator::actions& todo)
    {
        for (const auto& item : todo)
        {
            if (const auto* run = std::get_if<coordinator::run_action>(&item))
            {
                last_run = run->connection;
                ++runs;
            }
            if (const auto* open = std::get_if<coordinator::open_action>(&item))
                m_opening.push_back(open->connection);
            if (const auto* shut =
                    std::get_if<coordinator::close_action>(&item))
                closed.insert(shut->connection);
            if (const auto* end =
                    std::get_if<coordinator::answer_action>(&item))
                replies.push_back(end->reply);
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
        take(m_coordinator.on_tick(m_now));
        for (const auto number : std::exchange(m_opening, {}))
            take(m_coordinator.on_opened(number, upstream::open_outcome::opened,
                                         m_now));
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

TEST_GROUP(scripted_upstream){};

TEST(scripted_upstream, a_connection_with_an_open_transaction_is_not_reused)
{
    scripted one;
    one.submit(write());
    const auto used = one.last_run;
    one.answer(answered(2, true));
    CHECK(one.closed.contains(used));
    one.submit(write());
    CHECK(one.runs == 1 || one.last_run != used);
}

TEST(scripted_upstream, a_clean_connection_is_reused)
{
    scripted one;
    one.submit(write());
    const auto used = one.last_run;
    one.answer(answered(2, false));
    one.submit(write());
    LONGS_EQUAL(2, one.runs);
    LONGS_EQUAL(used, one.last_run);
}

TEST(scripted_upstream, an_answer_waits_for_its_confirmation)
{
    scripted one;
    one.submit(write());
    one.answer(answered(2, false));
    LONGS_EQUAL(0, one.replies.size());
    one.confirm(1);
    LONGS_EQUAL(0, one.replies.size());
    one.confirm(2);
    LONGS_EQUAL(1, one.replies.size());
    CHECK_FALSE(one.replies[0].error.has_value());
    // Two steps of 5 ms passed until the confirmation.
    DOUBLES_EQUAL(10, one.replies[0].confirmation_ms, 0.1);
    DOUBLES_EQUAL(0, one.replies[0].queue_ms, 0.1);
}

TEST(scripted_upstream, a_second_answer_to_the_same_order_goes_nowhere)
{
    scripted one;
    one.submit(write());
    one.answer(answered(2, false));
    one.confirm(2);
    one.answer(answered(3, false));
    one.confirm(3);
    LONGS_EQUAL(1, one.replies.size());
}
