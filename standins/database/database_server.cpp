#include <database/database_server.hpp>

#include <plantainward/upstream/wire.hpp>

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace standin
{

namespace json = boost::json;
namespace wire = plantainward::upstream::wire;

namespace
{

constexpr core::millis max_pull_wait{100};
constexpr core::millis pull_timeout{1000};
constexpr core::millis pull_retry_delay{20};
constexpr core::millis sweep_interval{20};
constexpr std::size_t max_pull_entries = 512;
constexpr std::size_t max_append_times = 65'536;

void run_after(boost::asio::io_context& io, core::millis delay,
               std::function<void()> work)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(io, delay);
    timer->async_wait(
        [timer, work = std::move(work)](boost::system::error_code) { work(); });
}

http::response error_response(int status)
{
    http::response response;
    response.status = status;
    response.body = "{}";
    return response;
}

} // namespace

database_server::database_server(boost::asio::io_context& io,
                                 core::address address, int slots,
                                 std::size_t connection_limit,
                                 database_faults faults)
    : m_io(io), m_address(std::move(address)),
      m_client(http::client::create(io)), m_database(slots, connection_limit),
      m_faults(faults), m_append_times(static_cast<std::size_t>(slots)),
      m_primaries(static_cast<std::size_t>(slots)),
      m_generations(static_cast<std::size_t>(slots)),
      m_primary_contacts(static_cast<std::size_t>(slots), core::steady::now())
{
}

void database_server::handle(http::connection_id connection,
                             const http::request& message,
                             http::responder respond)
{
    if (message.target == "/faults")
        return set_faults(message.body, respond);
    if (message.target == "/state")
        return report_state(respond);
    if (message.target == "/pull")
        return pull(message.body, std::move(respond));
    {
        const std::lock_guard lock(m_mutex);
        if (m_faults.cut_proxies)
            return;
    }
    if (message.target == "/session")
        return open_session(connection, std::move(respond));
    if (message.target == "/run")
        return run(connection, message.body, std::move(respond));
    if (message.target == "/control")
        return control(message.body, std::move(respond));
    respond(error_response(404));
}

void database_server::handle_close(http::connection_id connection)
{
    const std::lock_guard lock(m_mutex);
    m_database.close_session(connection);
}

void database_server::open_session(http::connection_id connection,
                                   http::responder respond)
{
    const std::lock_guard lock(m_mutex);
    if (!m_database.open_session(connection))
        return respond(error_response(503));
    run_after(m_io, core::millis(m_faults.open_ms),
              [respond = std::move(respond)] {
                  respond({200, "{}"});
              });
}

void database_server::run(http::connection_id connection,
                          const std::string& body, http::responder respond)
{
    const auto order = wire::decode_run_order(body);
    if (!order)
        return respond(error_response(400));
    std::unique_lock lock(m_mutex);
    const auto result = m_database.run(connection, *order);
    ++m_orders_run;
    on_log_change();
    const bool drops_answer = m_faults.drop_answers > 0 &&
                              result.outcome == upstream::run_outcome::answered;
    if (drops_answer)
        --m_faults.drop_answers;
    lock.unlock();
    if (drops_answer)
    {
        // Closes the connection without a valid answer, so that the proxy sees
        // a lost exchange.
        http::response lost = error_response(500);
        lost.body = "lost";
        lost.close = true;
        return respond(std::move(lost));
    }
    answer_after_delay(std::move(respond), wire::encode(result));
}

upstream::control_result database_server::status_now()
{
    auto result = m_database.control({});
    const auto now = core::steady::now();
    for (auto& slot_status : result.status)
        slot_status.since_primary_contact =
            std::chrono::duration_cast<core::millis>(
                now - m_primary_contacts.at(
                          static_cast<std::size_t>(slot_status.slot)));
    return result;
}

void database_server::control(const std::string& body, http::responder respond)
{
    const auto order = wire::decode_control_order(body);
    if (!order)
        return respond(error_response(400));
    const std::lock_guard lock(m_mutex);
    if (order->kind == upstream::control_kind::status)
    {
        m_status_waits.push_back(
            {*order, core::steady::now() + order->wait, std::move(respond)});
        return answer_waits();
    }
    auto result = m_database.control(*order);
    if (order->kind == upstream::control_kind::follow &&
        result.outcome == upstream::control_outcome::accepted)
        follow(order->slot, order->primary);
    on_log_change();
    result.status = status_now().status;
    answer_after_delay(std::move(respond), wire::encode(result));
}

void database_server::answer_after_delay(http::responder respond,
                                         std::string body)
{
    if (m_faults.delay_ms == 0)
        return respond({200, std::move(body)});
    run_after(m_io, core::millis(m_faults.delay_ms),
              [respond = std::move(respond), body = std::move(body)] {
                  respond({200, body});
              });
}

void database_server::on_log_change()
{
    const auto now = core::steady::now();
    for (int slot = 0; slot < m_database.slots(); ++slot)
    {
        auto& times = m_append_times[static_cast<std::size_t>(slot)];
        const auto length = m_database.member(slot).status().last.position;
        while (!times.empty() && times.back().first > length)
            times.pop_back();
        if (times.empty() || times.back().first < length)
            times.emplace_back(length, now);
        if (times.size() > max_append_times)
            times.pop_front();
    }
    answer_waits();
}

void database_server::answer_waits()
{
    const auto now = core::steady::now();
    const auto report = status_now();
    std::erase_if(m_status_waits, [&](const status_wait& wait) {
        const auto& slots = report.status;
        const auto index = static_cast<std::size_t>(wait.order.slot);
        const bool reached =
            index < slots.size() && slots[index].last >= wait.order.wait_for;
        if (!reached && now < wait.deadline)
            return false;
        answer_after_delay(wait.respond, wire::encode(report));
        return true;
    });
    std::erase_if(m_pull_waits,
                  [&](const pull_wait& wait) { return try_pull(wait); });
    const bool lags = std::any_of(
        m_pull_waits.begin(), m_pull_waits.end(),
        [](const pull_wait& wait) { return wait.request.lag_ms > 0; });
    if (!m_status_waits.empty() || !m_pull_waits.empty())
        schedule_answer_waits(lags ? core::millis(2) : sweep_interval);
}

void database_server::schedule_answer_waits(core::millis delay)
{
    if (std::exchange(m_sweep_scheduled, true))
        return;
    run_after(m_io, delay, [self = shared_from_this()] {
        const std::lock_guard lock(self->m_mutex);
        self->m_sweep_scheduled = false;
        self->answer_waits();
    });
}

std::vector<log_entry>::size_type
database_server::visible_length(int slot, core::millis lag) const
{
    const auto newest_visible = core::steady::now() - lag;
    const auto& times = m_append_times[static_cast<std::size_t>(slot)];
    const auto first_hidden =
        std::upper_bound(times.begin(), times.end(), newest_visible,
                         [](core::instant instant, const auto& append_time) {
                             return instant < append_time.second;
                         });
    return first_hidden == times.begin() ? 0 : std::prev(first_hidden)->first;
}

void database_server::pull(const std::string& body, http::responder respond)
{
    const auto request = decode_pull_request(body);
    if (!request)
        return respond(error_response(400));
    const std::lock_guard lock(m_mutex);
    if (m_faults.cut_replication)
        return;
    pull_wait wait{*request, core::steady::now() + max_pull_wait,
                   std::move(respond)};
    if (try_pull(wait))
        return;
    m_pull_waits.push_back(std::move(wait));
    answer_waits();
}

bool database_server::try_pull(const pull_wait& wait)
{
    const auto& order = wait.request.order;
    if (order.slot < 0 || order.slot >= m_database.slots())
        return true;
    const auto visible =
        visible_length(order.slot, core::millis(wait.request.lag_ms));
    const auto reply = m_database.member(order.slot)
                           .serve_pull(order, visible, max_pull_entries);
    if (reply.accepted && reply.entries.empty() &&
        core::steady::now() < wait.deadline)
        return false;
    wait.respond({200, encode(reply)});
    return true;
}

void database_server::follow(int slot, const core::address& primary)
{
    const auto index = static_cast<std::size_t>(slot);
    if (m_primaries[index] == primary && m_generations[index] > 0)
        return;
    m_primaries[index] = primary;
    const auto generation = ++m_generations[index];
    boost::asio::post(m_io, [self = shared_from_this(), slot, generation] {
        self->pull_once(slot, generation);
    });
}

void database_server::pull_later(int slot, std::uint64_t generation,
                                 core::millis delay)
{
    run_after(m_io, delay, [self = shared_from_this(), slot, generation] {
        self->pull_once(slot, generation);
    });
}

void database_server::pull_once(int slot, std::uint64_t generation)
{
    const auto index = static_cast<std::size_t>(slot);
    pull_request request;
    core::address primary;
    {
        const std::lock_guard lock(m_mutex);
        if (m_generations[index] != generation)
            return;
        const bool follows =
            m_database.member(slot).status().acting == upstream::role::replica;
        if (m_faults.cut_replication || !follows)
            return pull_later(slot, generation, pull_retry_delay);
        request.order = m_database.member(slot).make_pull();
        request.lag_ms = m_faults.lag_ms;
        primary = m_primaries[index];
    }
    m_client->send(
        primary, {"POST", "/pull", {}, encode(request)}, pull_timeout,
        [self = shared_from_this(), slot, index,
         generation](const http::exchange_result& result) {
            bool applied = false;
            {
                const std::lock_guard lock(self->m_mutex);
                if (self->m_generations[index] != generation)
                    return;
                const auto reply = decode_pull_reply(result.body);
                if (reply && !self->m_faults.cut_replication)
                    applied = self->m_database.member(slot).apply_pull(*reply);
                if (applied)
                    self->m_primary_contacts[index] = core::steady::now();
                self->on_log_change();
            }
            if (applied)
                self->pull_once(slot, generation);
            else
                self->pull_later(slot, generation, pull_retry_delay);
        });
}

void database_server::set_faults(const std::string& body,
                                 const http::responder& respond)
{
    boost::system::error_code parse_error;
    const auto parsed = json::parse(body, parse_error);
    if (parse_error || !parsed.is_object())
        return respond(error_response(400));
    const auto& fields = parsed.get_object();
    const auto number = [&](std::string_view key, int& target) {
        if (const auto* found = fields.if_contains(key))
            target = static_cast<int>(found->as_int64());
    };
    const auto boolean = [&](std::string_view key, bool& target) {
        if (const auto* found = fields.if_contains(key))
            target = found->as_bool();
    };
    const std::lock_guard lock(m_mutex);
    try
    {
        number("delay_ms", m_faults.delay_ms);
        number("lag_ms", m_faults.lag_ms);
        number("open_ms", m_faults.open_ms);
        number("drop_answers", m_faults.drop_answers);
        boolean("cut_proxies", m_faults.cut_proxies);
        boolean("cut_replication", m_faults.cut_replication);
    }
    catch (const std::exception&)
    {
        return respond(error_response(400));
    }
    respond({200, "{}"});
}

void database_server::report_state(const http::responder& respond)
{
    const std::lock_guard lock(m_mutex);
    json::array logs;
    json::array data;
    for (int slot = 0; slot < m_database.slots(); ++slot)
    {
        json::array ids;
        for (const auto& entry : m_database.member(slot).log())
        {
            if (!entry.id.empty() && !entry.voids_id)
                ids.push_back(json::string(entry.id));
        }
        logs.push_back(std::move(ids));
        json::object values;
        for (const auto& entry : m_database.member(slot).log())
            for (const auto& [key, value] : entry.writes)
                values[key] = value.value_or("");
        data.push_back(std::move(values));
    }
    respond({200, json::serialize(json::object{
                      {"sessions", m_database.sessions()},
                      {"most_sessions", m_database.peak_sessions()},
                      {"orders_run", m_orders_run},
                      {"ids", std::move(logs)},
                      {"data", std::move(data)}})});
}

} // namespace standin
