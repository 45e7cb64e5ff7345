#include <row_store/row_store.hpp>

#include <charconv>
#include <utility>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

namespace standin
{

namespace http = plantainward::http;
namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds feed_interval{10};

std::string base64(const std::string& bytes)
{
    namespace coder = boost::beast::detail::base64;
    std::string text(coder::encoded_size(bytes.size()), '\0');
    text.resize(coder::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string percent_decode(const std::string& text)
{
    constexpr std::size_t escape_length = 3;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned byte = 0;
        const auto* digits = text.data() + i + 1;
        const bool is_escape =
            text[i] == '%' && i + escape_length <= text.size() &&
            std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2;
        decoded += is_escape ? static_cast<char>(byte) : text[i];
        i += is_escape ? escape_length - 1 : 0;
    }
    return decoded;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> query;
    auto position = target.find('?');
    while (position != std::string::npos)
    {
        const auto next = target.find('&', position + 1);
        const auto part = target.substr(position + 1, next - position - 1);
        const auto equals_sign = part.find('=');
        if (equals_sign != std::string::npos)
            query[part.substr(0, equals_sign)] =
                percent_decode(part.substr(equals_sign + 1));
        position = next;
    }
    return query;
}

http::response answer(int status, std::string body = "{}")
{
    http::response response;
    response.status = status;
    response.body = std::move(body);
    return response;
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
                  const plantainward::core::address& address,
                  promotion_handler on_promotion)
{
    std::unique_ptr<row_store> store(new row_store(io));
    store->m_on_promotion = std::move(on_promotion);
    http::server_limits limits;
    limits.threads = 1;
    auto* store_pointer = store.get();
    store->m_server = http::server::listen(
        address, limits, io,
        [store_pointer](http::connection_id, const http::request& message,
                        const http::responder& respond) {
            store_pointer->handle(message, respond);
        });
    if (!store->m_server)
        return nullptr;
    store->schedule_feeds();
    return store;
}

void row_store::schedule_feeds()
{
    m_timer.expires_after(feed_interval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        {
            const std::lock_guard lock(m_mutex);
            serve_feeds();
        }
        schedule_feeds();
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

void row_store::restore(std::uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_rows, [&](const auto& entry) {
        return entry.second.version > version;
    });
    m_version = version;
    ++m_era;
    for (const auto& feed : std::exchange(m_feeds, {}))
        feed.respond(answer(410));
}

std::uint64_t row_store::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_version;
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
                      const std::string& encoded_text, bool removed)
{
    m_rows[{table, key}] = {table, key, encoded_text, m_version, removed};
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
    const auto respond_with_era = [this, respond](http::response response) {
        response.fields.emplace_back("Store-Era", std::to_string(m_era));
        respond(response);
    };
    const auto responder = m_fault == store_fault::lost_answers
                               ? http::responder([](const http::response&) {})
                               : http::responder(respond_with_era);
    if (message.target == "/promotion")
    {
        const auto fields = json::parse(message.body).get_object();
        const auto token =
            std::stoull(std::string(message.header("X-Fencing-Token")));
        return responder(answer(m_on_promotion(text_in(fields, "service"),
                                               text_in(fields, "id"), token)));
    }
    if (message.target == "/rows-tx")
        return transact(message.body, responder);
    if (message.target.starts_with("/rows-get"))
        return get(query, responder);
    if (!message.target.starts_with("/rows-feed"))
        return responder(answer(404));
    if (m_fault == store_fault::lost_history ||
        std::stoull(query.at("after")) > m_version)
        return responder(answer(410));
    m_feeds.push_back(
        {query.at("table"), std::stoull(query.at("after")),
         std::chrono::steady_clock::now() +
             std::chrono::milliseconds(std::stoul(query.at("wait_ms"))),
         responder});
    serve_feeds();
}

void row_store::transact(const std::string& body,
                         const http::responder& respond)
{
    const auto fields = json::parse(body).get_object();
    for (const auto& expectation : fields.at("expect").get_array())
    {
        const auto& expected_row = expectation.get_object();
        const auto found = m_rows.find(
            {text_in(expected_row, "table"), text_in(expected_row, "key")});
        const bool exists = found != m_rows.end() && !found->second.removed;
        const auto current_version = exists ? found->second.version : 0;
        if (current_version !=
            expected_row.at("record_version").to_number<std::uint64_t>())
            return respond(answer(412));
    }
    ++m_version;
    for (const auto& changed_row : fields.at("upsert_rows").get_array())
        store(text_in(changed_row.get_object(), "table"),
              text_in(changed_row.get_object(), "key"),
              text_in(changed_row.get_object(), "value"), false);
    for (const auto& changed_row : fields.at("remove").get_array())
        store(text_in(changed_row.get_object(), "table"),
              text_in(changed_row.get_object(), "key"), {}, true);
    respond(answer(200, json::serialize(json::object{
                            {"record_version", m_version}, {"now_ms", 1}})));
    serve_feeds();
}

void row_store::get(const std::map<std::string, std::string>& query,
                    const http::responder& respond)
{
    // Small, so that readers have to request further pages.
    constexpr std::size_t page_size = 4;
    json::array rows;
    bool has_more = false;
    const auto from = query.contains("from") ? query.at("from") : "";
    for (const auto& [name, stored_row] : m_rows)
    {
        if (stored_row.table != query.at("table") || stored_row.removed ||
            stored_row.key < from)
            continue;
        if (rows.size() == page_size)
        {
            has_more = true;
            break;
        }
        rows.push_back(json::object{{"table", stored_row.table},
                                    {"part", ""},
                                    {"key", stored_row.key},
                                    {"value", stored_row.encoded_text},
                                    {"record_version", stored_row.version}});
    }
    respond(answer(
        200, json::serialize(json::object{{"rows", std::move(rows)},
                                          {"has_more", has_more},
                                          {"record_version", m_version}})));
}

std::string row_store::changes(const std::string& table, std::uint64_t after,
                               bool& has_changes) const
{
    json::array rows;
    for (const auto& [name, stored_row] : m_rows)
    {
        if (stored_row.table != table || stored_row.version <= after)
            continue;
        json::object change{{"table", stored_row.table},
                            {"key", stored_row.key},
                            {"record_version", stored_row.version}};
        if (stored_row.removed)
            change["tombstone"] = true;
        else
            change["value"] = stored_row.encoded_text;
        rows.push_back(std::move(change));
    }
    has_changes = !rows.empty();
    return json::serialize(
        json::object{{"rows", std::move(rows)}, {"record_version", m_version}});
}

void row_store::serve_feeds()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<waiting_feed> waiting_feeds;
    for (auto& feed : std::exchange(m_feeds, {}))
    {
        bool has_changes = false;
        const auto body = changes(feed.table, feed.after, has_changes);
        if (has_changes || now >= feed.deadline)
            feed.respond(answer(200, body));
        else
            waiting_feeds.push_back(std::move(feed));
    }
    m_feeds = std::move(waiting_feeds);
}

} // namespace standin
