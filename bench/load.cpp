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

constexpr std::size_t kept_connections = 256;

std::string read_name(counter_event::kind kind)
{
    if (kind == counter_event::kind::session_read)
        return "session";
    return kind == counter_event::kind::aged_read ? "max_age" : "latest";
}

std::string body_of(const call& what, const std::string& id)
{
    const bool adds = what.kind == counter_event::kind::add;
    json::object statement{{"verb", adds ? "add" : "get"},
                           {"key", what.counter}};
    if (adds)
        statement["amount"] = 1;
    json::object body{{"service", what.service},
                      {"slot", what.slot},
                      {"tenant", "bench"},
                      {"class", what.klass},
                      {"deadline_ms", what.deadline.count()},
                      {"statements", json::array{std::move(statement)}}};
    if (adds)
        body["id"] = id;
    else
        body["read"] = read_name(what.kind);
    if (what.kind == counter_event::kind::aged_read)
        body["max_age_ms"] = what.max_age.count();
    return json::serialize(body);
}

/// Ids must be new, also for callers that follow others on the same fleet.
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

callers::callers(fleet& where, int threads)
    : m_fleet(where), m_prefix(next_prefix()),
      m_work(boost::asio::make_work_guard(m_io)),
      m_client(http::client::create(m_io, kept_connections)),
      m_rotation(static_cast<std::size_t>(where.proxies()), true)
{
    for (int i = 0; i < threads; ++i)
        m_threads.emplace_back([this] { m_io.run(); });
}

callers::~callers()
{
    m_io.stop();
    for (auto& one : m_threads)
        one.join();
}

std::uint64_t callers::random()
{
    const std::lock_guard lock(m_mutex);
    return m_random();
}

int callers::pick_proxy()
{
    std::vector<int> usable;
    for (std::size_t i = 0; i < m_rotation.size(); ++i)
        if (m_rotation[i])
            usable.push_back(static_cast<int>(i));
    return usable[m_random() % usable.size()];
}

void callers::set_in_rotation(int proxy, bool in_rotation)
{
    const std::lock_guard lock(m_mutex);
    m_rotation[static_cast<std::size_t>(proxy)] = in_rotation;
}

std::shared_ptr<callers::session> callers::take_session()
{
    if (!m_free.empty())
    {
        const auto index = m_random() % m_free.size();
        std::swap(m_free[index], m_free.back());
        auto one = m_free.back();
        m_free.pop_back();
        return one;
    }
    auto made = std::make_shared<session>();
    made->number = ++m_last_session;
    return made;
}

void callers::send(const call& what, core::instant intended,
                   call_handler handler)
{
    int proxy = 0;
    std::shared_ptr<session> one;
    std::string id;
    {
        const std::lock_guard lock(m_mutex);
        proxy = pick_proxy();
        one = take_session();
        id = m_prefix + std::to_string(++m_last_id);
    }
    ++m_under_way;
    http::request message{"POST", "/v1/transactions", {}, body_of(what, id)};
    message.fields.emplace_back("Session-Token", one->token);
    if (one->token.empty())
        message.fields.clear();
    const auto sent = core::steady::now();
    m_client->send(
        m_fleet.caller_address(proxy), std::move(message),
        what.deadline + core::millis(1000),
        [this, what, id, one, intended, sent,
         handler = std::move(handler)](const http::exchange_result& result) {
            finish(what, id, one, intended, sent, result, handler);
            --m_under_way;
        });
}

void callers::finish(const call& what, const std::string& id,
                     const std::shared_ptr<session>& one,
                     core::instant intended, core::instant sent,
                     const http::exchange_result& result,
                     const call_handler& handler)
{
    call_result end;
    end.intended = intended;
    end.answered = core::steady::now();
    boost::system::error_code bad;
    const auto body = json::parse(result.body, bad);
    const bool answered =
        result.outcome == http::exchange_outcome::answered && !bad;
    end.lost = !answered;
    if (answered)
    {
        const auto outcome = std::string(body.at("outcome").as_string());
        end.done = outcome == "done";
        end.ran = outcome == "done"      ? core::effect::done
                  : outcome == "not_run" ? core::effect::not_run
                                         : core::effect::unknown;
    }
    if (answered && !end.done)
        end.error = std::string(body.at("error").at("kind").as_string());
    if (end.done)
    {
        end.from_replica = body.at("from_replica").as_bool();
        const auto& results = body.at("results").as_array();
        if (!results.empty() && !results[0].at("rows").as_array().empty())
            end.value = std::atoll(results[0]
                                       .at("rows")
                                       .as_array()[0]
                                       .at("value")
                                       .as_string()
                                       .c_str());
    }
    counter_event event;
    event.operation = what.kind;
    event.session = one->number;
    event.counter =
        what.service + "/" + std::to_string(what.slot) + "/" + what.counter;
    event.id = what.kind == counter_event::kind::add ? id : std::string{};
    event.started = sent;
    event.answered = end.answered;
    event.ran = end.ran;
    event.value = end.value;
    event.max_age = what.max_age;
    {
        const std::lock_guard lock(m_mutex);
        m_history.record(event);
        for (const auto& [name, value] : result.fields)
            if (name == plantainward::daemon::session_header && end.done)
                one->token = value;
        m_free.push_back(one);
    }
    handler(end);
}

void callers::open_loop(double per_second, core::millis duration,
                        const std::function<void(core::instant)>& fire)
{
    const auto start = core::steady::now();
    const auto interval = std::chrono::duration_cast<core::steady::duration>(
        std::chrono::duration<double>(1 / per_second));
    for (auto next = start; next < start + duration; next += interval)
    {
        std::this_thread::sleep_until(next);
        fire(next);
    }
}

void callers::settle()
{
    wait_until(core::millis(30'000), [this] { return m_under_way == 0; });
}

std::vector<std::string> callers::check() const
{
    std::map<std::string, int> applied;
    std::map<std::string, std::int64_t> finals;
    for (int service = 0; service < m_fleet.form().services; ++service)
        for (int slot = 0; slot < m_fleet.form().slots; ++slot)
        {
            const auto primary = m_fleet.primary(service, slot);
            if (!primary)
                continue;
            const auto state =
                post(m_fleet.database_address(*primary), "/state", "{}");
            if (!state)
                continue;
            const auto index = static_cast<std::size_t>(slot);
            for (const auto& id : state->at("ids").as_array()[index].as_array())
                ++applied[std::string(id.as_string())];
            for (const auto& item :
                 state->at("data").as_array()[index].as_object())
                finals[m_fleet.service(service) + "/" + std::to_string(slot) +
                       "/" + std::string(item.key())] =
                    std::atoll(item.value().as_string().c_str());
        }
    const std::lock_guard lock(m_mutex);
    return m_history.check(applied, finals);
}

} // namespace bench
