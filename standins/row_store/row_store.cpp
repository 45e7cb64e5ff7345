#include <row_store/row_store.hpp>

#include <utility>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

namespace standin
{

namespace http = plantainward::http;
namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds feed_step{10};

std::string base64(const std::string& bytes)
{
    namespace coder = boost::beast::detail::base64;
    std::string made(coder::encoded_size(bytes.size()), '\0');
    made.resize(coder::encode(made.data(), bytes.data(), bytes.size()));
    return made;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> made;
    auto at = target.find('?');
    while (at != std::string::npos)
    {
        const auto next = target.find('&', at + 1);
        const auto part = target.substr(at + 1, next - at - 1);
        const auto equals = part.find('=');
        if (equals != std::string::npos)
            made[part.substr(0, equals)] = part.substr(equals + 1);
        at = next;
    }
    return made;
}

http::response answer(int status, std::string body = "{}")
{
    http::response made;
    made.status = status;
    made.body = std::move(body);
    return made;
}

std::string text_in(const json::object& fields, const char* name)
{
    const auto* found = fields.if_contains(name);
    return found != nullptr && found->is_string()
               ? std::string(found->get_string())
               : std::string();
}

} // namespace

row_store::row_store(boost::asio::io_context& io) : m_timer(io) {}

std::unique_ptr<row_store>
row_store::listen(boost::asio::io_context& io,
                  const plantainward::core::address& where,
                  promotion_handler on_promotion)
{
    std::unique_ptr<row_store> made(new row_store(io));
    made->m_on_promotion = std::move(on_promotion);
    http::server_limits limits;
    limits.threads = 1;
    auto* raw = made.get();
    made->m_server = http::server::listen(
        where, limits, io,
        [raw](http::connection_id, const http::request& message,
              const http::responder& respond) {
            raw->handle(message, respond);
        });
    if (!made->m_server)
        return nullptr;
    made->schedule();
    return made;
}

void row_store::schedule()
{
    m_timer.expires_after(feed_step);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        {
            const std::lock_guard lock(m_mutex);
            serve_feeds();
        }
        schedule();
    });
}

void row_store::set_fault(store_fault fault)
{
    const std::lock_guard lock(m_mutex);
    m_fault = fault;
}

std::size_t row_store::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

bool row_store::has(const std::string& table, const std::string& key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_rows.find({table, key});
    return found != m_rows.end() && !found->second.removed;
}

void row_store::put(const std::string& table, const std::string& key,
                    const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    store(table, key, base64(text), false);
}

void row_store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    store(table, key, {}, true);
}

void row_store::store(const std::string& table, const std::string& key,
                      const std::string& coded, bool removed)
{
    m_rows[{table, key}] = {table, key, coded, m_version, removed};
}

void row_store::handle(const http::request& message,
                       const http::responder& respond)
{
    const std::lock_guard lock(m_mutex);
    ++m_calls;
    if (m_fault == store_fault::busy)
        return respond(answer(503));
    if (m_fault == store_fault::too_many)
        return respond(answer(429));
    const auto query = query_of(message.target);
    const auto answering = m_fault == store_fault::lost_answers
                               ? http::responder([](const http::response&) {})
                               : respond;
    if (message.target == "/promotion")
    {
        const auto fields = json::parse(message.body).get_object();
        const auto token =
            std::stoull(std::string(message.header("X-Fencing-Token")));
        return answering(answer(m_on_promotion(text_in(fields, "service"),
                                               text_in(fields, "id"), token)));
    }
    if (message.target == "/rows-tx")
        return transact(message.body, answering);
    if (message.target.starts_with("/rows-get"))
        return get(query, answering);
    if (!message.target.starts_with("/rows-feed"))
        return answering(answer(404));
    if (m_fault == store_fault::lost_history)
        return answering(answer(410));
    m_feeds.push_back(
        {query.at("table"), std::stoull(query.at("after")),
         std::chrono::steady_clock::now() +
             std::chrono::milliseconds(std::stoul(query.at("wait_ms"))),
         answering});
    serve_feeds();
}

void row_store::transact(const std::string& body,
                         const http::responder& respond)
{
    const auto fields = json::parse(body).get_object();
    for (const auto& one : fields.at("expect").get_array())
    {
        const auto& wanted = one.get_object();
        const auto found =
            m_rows.find({text_in(wanted, "table"), text_in(wanted, "key")});
        const bool exists = found != m_rows.end() && !found->second.removed;
        const auto known = exists ? found->second.version : 0;
        if (known != wanted.at("record_version").to_number<std::uint64_t>())
            return respond(answer(412));
    }
    ++m_version;
    for (const auto& one : fields.at("upsert_rows").get_array())
        store(text_in(one.get_object(), "table"),
              text_in(one.get_object(), "key"),
              text_in(one.get_object(), "value"), false);
    for (const auto& one : fields.at("remove").get_array())
        store(text_in(one.get_object(), "table"),
              text_in(one.get_object(), "key"), {}, true);
    respond(answer(200, json::serialize(json::object{
                            {"record_version", m_version}, {"now_ms", 1}})));
    serve_feeds();
}

void row_store::get(const std::map<std::string, std::string>& query,
                    const http::responder& respond)
{
    // A small page, so that readers must follow further pages.
    constexpr std::size_t page = 4;
    json::array rows;
    bool more = false;
    const auto from = query.contains("from") ? query.at("from") : "";
    for (const auto& [name, one] : m_rows)
    {
        if (one.table != query.at("table") || one.removed || one.key < from)
            continue;
        if (rows.size() == page)
        {
            more = true;
            break;
        }
        rows.push_back(json::object{{"table", one.table},
                                    {"part", ""},
                                    {"key", one.key},
                                    {"value", one.coded},
                                    {"record_version", one.version}});
    }
    respond(answer(
        200, json::serialize(json::object{{"rows", std::move(rows)},
                                          {"has_more", more},
                                          {"record_version", m_version}})));
}

std::string row_store::changes(const std::string& table, std::uint64_t after,
                               bool& any) const
{
    json::array rows;
    for (const auto& [name, one] : m_rows)
    {
        if (one.table != table || one.version <= after)
            continue;
        json::object change{{"table", one.table},
                            {"key", one.key},
                            {"record_version", one.version}};
        if (one.removed)
            change["tombstone"] = true;
        else
            change["value"] = one.coded;
        rows.push_back(std::move(change));
    }
    any = !rows.empty();
    return json::serialize(
        json::object{{"rows", std::move(rows)}, {"record_version", m_version}});
}

void row_store::serve_feeds()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<waiting_feed> left;
    for (auto& one : std::exchange(m_feeds, {}))
    {
        bool any = false;
        const auto body = changes(one.table, one.after, any);
        if (any || now >= one.until)
            one.respond(answer(200, body));
        else
            left.push_back(std::move(one));
    }
    m_feeds = std::move(left);
}

} // namespace standin
