#include "load.hpp"

#include <plantainward/daemon/api.hpp>

#include <algorithm>
#include <iostream>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace bench
{

namespace json = boost::json;
using support::counter_event;

namespace
{

constexpr std::size_t max_idle_connections = 256;

std::string read_name(counter_event::kind kind)
{
    if (kind == counter_event::kind::session_read)
        return "session";
    return kind == counter_event::kind::aged_read ? "max_age" : "latest";
}

std::string body_of(const call& request, const std::string& id)
{
    const bool adds = request.kind == counter_event::kind::add;
    json::object statement{{"verb", adds ? "add" : "get"},
                           {"key", request.counter}};
    if (adds)
        statement["amount"] = 1;
    json::object body{{"service", request.service},
                      {"slot", request.slot},
                      {"tenant", "bench"},
                      {"class", request.request_class},
                      {"deadline_ms", request.deadline.count()},
                      {"statements", json::array{std::move(statement)}}};
    if (adds)
        body["id"] = id;
    else
        body["read"] = read_name(request.kind);
    if (request.kind == counter_event::kind::aged_read)
        body["max_age_ms"] = request.max_age.count();
    return json::serialize(body);
}

/// A prefix that makes ids unique among all `callers` objects of this process;
/// several use the same fleet in turn.
std::string next_prefix()
{
    static std::atomic<int> count{0};
    return "bench-" + std::to_string(++count) + "-";
}

} // namespace

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index =
        static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

callers::callers(fleet& proxy_fleet, int threads)
    : m_proxy_fleet(proxy_fleet), m_prefix(next_prefix()),
      m_work(boost::asio::make_work_guard(m_io)),
      m_client(http::client::create(m_io, max_idle_connections)),
      m_in_rotation(static_cast<std::size_t>(proxy_fleet.proxies()), true)
{
    for (int i = 0; i < threads; ++i)
        m_threads.emplace_back([this] { m_io.run(); });
}

callers::~callers()
{
    m_io.stop();
    for (auto& thread : m_threads)
        thread.join();
}

std::uint64_t callers::random()
{
    const std::lock_guard lock(m_mutex);
    return m_random();
}

int callers::pick_proxy()
{
    std::vector<int> usable;
    for (std::size_t i = 0; i < m_in_rotation.size(); ++i)
        if (m_in_rotation[i])
            usable.push_back(static_cast<int>(i));
    return usable[m_random() % usable.size()];
}

void callers::set_in_rotation(int proxy, bool in_rotation)
{
    const std::lock_guard lock(m_mutex);
    m_in_rotation[static_cast<std::size_t>(proxy)] = in_rotation;
}

std::shared_ptr<callers::session> callers::acquire_session()
{
    if (!m_idle_sessions.empty())
    {
        const auto index = m_random() % m_idle_sessions.size();
        std::swap(m_idle_sessions[index], m_idle_sessions.back());
        auto caller_session = m_idle_sessions.back();
        m_idle_sessions.pop_back();
        return caller_session;
    }
    auto new_session = std::make_shared<session>();
    new_session->number = ++m_last_session;
    return new_session;
}

void callers::send(const call& request, core::instant intended,
                   call_handler handler)
{
    int proxy = 0;
    std::shared_ptr<session> caller_session;
    std::string id;
    {
        const std::lock_guard lock(m_mutex);
        proxy = pick_proxy();
        caller_session = acquire_session();
        id = m_prefix + std::to_string(++m_last_id);
    }
    ++m_pending_calls;
    http::request message{"POST", "/v1/transactions", {}, body_of(request, id)};
    message.fields.emplace_back("Session-Token", caller_session->token);
    if (caller_session->token.empty())
        message.fields.clear();
    const auto sent = core::steady::now();
    m_client->send(
        m_proxy_fleet.caller_address(proxy), std::move(message),
        request.deadline + core::millis(1000),
        [this, request, id, caller_session, intended, sent,
         handler = std::move(handler)](const http::exchange_result& result) {
            finish(request, id, caller_session, intended, sent, result,
                   handler);
            --m_pending_calls;
        });
}

void callers::finish(const call& request, const std::string& id,
                     const std::shared_ptr<session>& caller_session,
                     core::instant intended, core::instant sent,
                     const http::exchange_result& result,
                     const call_handler& handler)
{
    call_result call_outcome;
    call_outcome.intended = intended;
    call_outcome.answered = core::steady::now();
    boost::system::error_code parse_error;
    const auto body = json::parse(result.body, parse_error);
    const bool answered =
        result.outcome == http::exchange_outcome::answered && !parse_error;
    call_outcome.lost = !answered;
    if (answered)
    {
        const auto outcome = std::string(body.at("outcome").as_string());
        call_outcome.done = outcome == "done";
        call_outcome.reported_effect = outcome == "done" ? core::effect::done
                                       : outcome == "not_run"
                                           ? core::effect::not_run
                                           : core::effect::unknown;
    }
    if (answered && !call_outcome.done)
        call_outcome.error =
            std::string(body.at("error").at("kind").as_string());
    if (call_outcome.done)
    {
        call_outcome.from_replica = body.at("from_replica").as_bool();
        const auto& results = body.at("results").as_array();
        if (!results.empty() && !results[0].at("rows").as_array().empty())
            call_outcome.value = std::atoll(results[0]
                                                .at("rows")
                                                .as_array()[0]
                                                .at("value")
                                                .as_string()
                                                .c_str());
    }
    counter_event event;
    event.operation = request.kind;
    event.session = caller_session->number;
    event.counter = request.service + "/" + std::to_string(request.slot) + "/" +
                    request.counter;
    event.id = request.kind == counter_event::kind::add ? id : std::string{};
    event.started = sent;
    event.answered = call_outcome.answered;
    event.ran = call_outcome.reported_effect;
    event.value = call_outcome.value;
    event.max_age = request.max_age;
    {
        const std::lock_guard lock(m_mutex);
        m_history.record(event);
        for (const auto& [name, value] : result.fields)
            if (name == plantainward::daemon::session_header &&
                call_outcome.done)
                caller_session->token = value;
        m_idle_sessions.push_back(caller_session);
    }
    handler(call_outcome);
}

void callers::open_loop(double per_second, core::millis duration,
                        const std::function<void(core::instant)>& send_call)
{
    const auto start = core::steady::now();
    const auto interval = std::chrono::duration_cast<core::steady::duration>(
        std::chrono::duration<double>(1 / per_second));
    for (auto next = start; next < start + duration; next += interval)
    {
        std::this_thread::sleep_until(next);
        send_call(next);
    }
}

void callers::wait_for_answers()
{
    wait_until(core::millis(30'000), [this] { return m_pending_calls == 0; });
}

std::vector<std::string> callers::check() const
{
    std::map<std::string, int> applied;
    std::map<std::string, std::int64_t> finals;
    for (int service = 0; service < m_proxy_fleet.fleet_shape().services;
         ++service)
        for (int slot = 0; slot < m_proxy_fleet.fleet_shape().slots; ++slot)
        {
            const auto primary = m_proxy_fleet.primary(service, slot);
            if (!primary)
                continue;
            const auto state =
                post(m_proxy_fleet.database_address(*primary), "/state", "{}");
            if (!state)
                continue;
            const auto index = static_cast<std::size_t>(slot);
            for (const auto& id : state->at("ids").as_array()[index].as_array())
                ++applied[std::string(id.as_string())];
            for (const auto& item :
                 state->at("data").as_array()[index].as_object())
                finals[m_proxy_fleet.service(service) + "/" +
                       std::to_string(slot) + "/" + std::string(item.key())] =
                    std::atoll(item.value().as_string().c_str());
        }
    const std::lock_guard lock(m_mutex);
    return m_history.check(applied, finals);
}

} // namespace bench
