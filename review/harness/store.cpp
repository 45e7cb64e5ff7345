#include "store.hpp"

#include <algorithm>
#include <cctype>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

namespace review
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr millis answer_time{4};
constexpr millis transaction_time{8};
constexpr millis feed_interval{10};
constexpr std::size_t max_rows = 500;

std::string base64_of(const std::string& bytes)
{
    constexpr const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group =
                (group << 8U) |
                (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                      : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k > bytes.size()
                        ? '='
                        : digits[(group >> (18 - 6 * k)) & 63U];
    }
    return text;
}

std::string unescaped(const std::string& text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%' || i + 2 >= text.size())
        {
            plain += text[i];
            continue;
        }
        plain +=
            static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
    }
    return plain;
}

std::string text_in(const json::object& fields, const char* name)
{
    const auto* found = fields.if_contains(name);
    return found != nullptr && found->is_string()
               ? std::string(found->get_string())
               : std::string();
}

std::string value_of(const std::map<std::string, std::string>& fields,
                     const std::string& name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::string lower(std::string text)
{
    for (auto& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

} // namespace

struct store::connection
{
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}

    tcp::socket socket;
    std::string input;
    std::array<char, 16384> buffer{};
};

store::store(asio::io_context& io, std::uint16_t port, record& log,
             promotion_handler on_promotion)
    : m_io(io), m_acceptor(io, {asio::ip::make_address("127.0.0.1"), port}),
      m_timer(io), m_log(log), m_on_promotion(std::move(on_promotion))
{
    accept();
    schedule();
}

void store::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error)
            return;
        socket.set_option(tcp::no_delay(true));
        read(std::make_shared<connection>(std::move(socket)));
        accept();
    });
}

void store::read(const std::shared_ptr<connection>& caller)
{
    caller->socket.async_read_some(
        asio::buffer(caller->buffer),
        [this, caller](error_code error, std::size_t size) {
            if (error)
                return;
            caller->input.append(caller->buffer.data(), size);
            if (const auto message = take_request(caller->input))
                return handle(caller, *message);
            read(caller);
        });
}

std::optional<store::request> store::take_request(std::string& input)
{
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    request message;
    auto line_end = input.find("\r\n");
    const auto first = input.substr(0, line_end);
    message.method = first.substr(0, first.find(' '));
    const auto target_start = first.find(' ') + 1;
    const auto target = first.substr(
        target_start, first.find(' ', target_start) - target_start);
    message.path = target.substr(0, target.find('?'));
    auto position = target.find('?');
    while (position != std::string::npos)
    {
        const auto next = target.find('&', position + 1);
        const auto part = target.substr(
            position + 1,
            next == std::string::npos ? next : next - position - 1);
        const auto equals = part.find('=');
        if (equals != std::string::npos)
            message.query[part.substr(0, equals)] =
                unescaped(part.substr(equals + 1));
        position = next;
    }
    while (line_end < end)
    {
        const auto start = line_end + 2;
        line_end = input.find("\r\n", start);
        const auto line = input.substr(start, line_end - start);
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            message.headers[lower(line.substr(0, colon))] =
                line.substr(line.find_first_not_of(' ', colon + 1));
    }
    const auto length_text = value_of(message.headers, "content-length");
    const auto length = length_text.empty() ? 0 : std::stoul(length_text);
    if (input.size() < end + 4 + length)
        return std::nullopt;
    message.body = input.substr(end + 4, length);
    input.erase(0, end + 4 + length);
    return message;
}

void store::answer(const std::shared_ptr<connection>& caller, int status,
                   const std::string& body)
{
    auto text = std::make_shared<std::string>(
        "HTTP/1.1 " + std::to_string(status) +
        " Status\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    asio::async_write(caller->socket, asio::buffer(*text),
                      [this, caller, text](error_code error, std::size_t) {
                          if (!error)
                              read(caller);
                      });
}

void store::handle(const std::shared_ptr<connection>& caller,
                   const request& message)
{
    if (message.path == "/rows-feed")
    {
        m_feeds.push_back({caller, value_of(message.query, "table"),
                           std::stoull(value_of(message.query, "after")),
                           steady::now() + millis(std::stoi(value_of(
                                               message.query, "wait_ms")))});
        return serve_feeds();
    }
    auto timer = std::make_shared<asio::steady_timer>(
        m_io, message.path == "/rows-tx" ? transaction_time : answer_time);
    timer->async_wait([this, caller, message, timer](error_code) {
        if (message.path == "/rows-tx")
            return transact(caller, message);
        if (message.path == "/rows-get")
            return get(caller, message);
        if (message.path != "/promotion")
            return answer(caller, 404, "{}");
        const auto fields = json::parse(message.body).get_object();
        const auto holder = value_of(message.headers, "x-duty-holder");
        const auto token = value_of(message.headers, "x-fencing-token");
        const auto status =
            m_on_promotion(text_in(fields, "service"), text_in(fields, "id"),
                           holder, std::stoull(token));
        m_log.line("promotion of " + text_in(fields, "id") + " by " + holder +
                   ", token " + token + ": " + std::to_string(status));
        answer(caller, status, "{}");
    });
}

void store::put(const std::string& table, const std::string& key,
                const std::string& value)
{
    m_rows[{table, key}] = {base64_of(value), ++m_version, false};
    m_log.line("store: " + table + "/" + key + " = " + value);
    serve_feeds();
}

void store::remove(const std::string& table, const std::string& key)
{
    m_rows[{table, key}] = {{}, ++m_version, true};
    m_log.line("store: " + table + "/" + key + " removed");
    serve_feeds();
}

void store::transact(const std::shared_ptr<connection>& caller,
                     const request& message)
{
    const auto fields = json::parse(message.body).get_object();
    const auto key_of = [](const json::value& value) {
        const auto& identity = value.get_object();
        return row_key{text_in(identity, "table"), text_in(identity, "key")};
    };
    for (const auto& expected : fields.at("expect").get_array())
    {
        const auto found = m_rows.find(key_of(expected));
        const auto version = found == m_rows.end() || found->second.removed
                                 ? 0
                                 : found->second.version;
        if (version != expected.get_object()
                           .at("record_version")
                           .to_number<std::uint64_t>())
            return answer(
                caller, 412,
                json::serialize(json::object{{"rows", json::array{}},
                                             {"record_version", m_version}}));
    }
    ++m_version;
    for (const auto& changed : fields.at("upsert_rows").get_array())
        m_rows[key_of(changed)] = {text_in(changed.get_object(), "value"),
                                   m_version, false};
    for (const auto& dropped : fields.at("remove").get_array())
        m_rows[key_of(dropped)] = {{}, m_version, true};
    answer(caller, 200,
           json::serialize(
               json::object{{"record_version", m_version}, {"now_ms", 1}}));
    serve_feeds();
}

void store::get(const std::shared_ptr<connection>& caller,
                const request& message)
{
    const auto table = value_of(message.query, "table");
    const auto from = value_of(message.query, "from");
    const auto limit_text = value_of(message.query, "limit");
    const auto limit = limit_text.empty() ? max_rows : std::stoul(limit_text);
    json::array rows;
    bool has_more = false;
    for (const auto& [key, stored] : m_rows)
    {
        if (key.first != table || stored.removed || key.second < from)
            continue;
        if (rows.size() == limit)
        {
            has_more = true;
            break;
        }
        rows.push_back(json::object{{"table", table},
                                    {"part", ""},
                                    {"key", key.second},
                                    {"value", stored.value},
                                    {"record_version", stored.version}});
    }
    answer(caller, 200,
           json::serialize(json::object{{"rows", std::move(rows)},
                                        {"has_more", has_more},
                                        {"record_version", m_version},
                                        {"now_ms", 1}}));
}

std::optional<std::string> store::changes(const std::string& table,
                                          std::uint64_t after) const
{
    std::vector<std::pair<std::uint64_t, json::object>> changed;
    for (const auto& [key, stored] : m_rows)
    {
        if (key.first != table || stored.version <= after)
            continue;
        json::object row{{"table", table},
                         {"part", ""},
                         {"key", key.second},
                         {"record_version", stored.version}};
        if (stored.removed)
            row["tombstone"] = true;
        else
            row["value"] = stored.value;
        changed.emplace_back(stored.version, std::move(row));
    }
    if (changed.empty())
        return std::nullopt;
    std::sort(changed.begin(), changed.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    json::array rows;
    for (auto& [version, row] : changed)
        rows.push_back(std::move(row));
    return json::serialize(json::object{{"rows", std::move(rows)},
                                        {"record_version", m_version},
                                        {"now_ms", 1}});
}

void store::serve_feeds()
{
    const auto now = steady::now();
    for (auto& feed : std::exchange(m_feeds, {}))
    {
        if (const auto body = changes(feed.table, feed.after))
            answer(feed.caller, 200, *body);
        else if (now >= feed.deadline)
            answer(feed.caller, 200,
                   json::serialize(json::object{{"rows", json::array{}},
                                                {"record_version", m_version},
                                                {"now_ms", 1}}));
        else
            m_feeds.push_back(std::move(feed));
    }
}

void store::schedule()
{
    m_timer.expires_after(feed_interval);
    m_timer.async_wait([this](error_code error) {
        if (error)
            return;
        serve_feeds();
        schedule();
    });
}

} // namespace review
