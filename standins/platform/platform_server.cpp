#include <platform/platform_server.hpp>

#include <plantainward/platform/wire.hpp>

#include <exception>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace standin
{

namespace http = plantainward::http;
namespace json = boost::json;
using platform::platform_outcome;

namespace
{

constexpr std::string_view table_prefix = "/table/";
constexpr std::string_view object_prefix = "/objects/";

http::response answer_of(platform_outcome end, std::string body)
{
    http::response response;
    response.body = std::move(body);
    if (end == platform_outcome::not_found)
        response.status = 404;
    if (end == platform_outcome::conflict)
        response.status = 409;
    if (end == platform_outcome::unknown || end == platform_outcome::down)
        response.status = 500;
    return response;
}

std::string name_after(const std::string& target, std::string_view prefix)
{
    return target.starts_with(prefix) ? target.substr(prefix.size())
                                      : std::string{};
}

} // namespace

void platform_server::handle(const http::request& message,
                             const http::responder& respond)
{
    const std::lock_guard lock(m_mutex);
    if (message.target == "/faults")
        return set_faults(message.body, respond);
    if (m_hung)
        return;
    serve(message, respond);
}

void platform_server::serve(const http::request& message,
                            const http::responder& respond)
{
    const auto row = name_after(message.target, table_prefix);
    const auto object = name_after(message.target, object_prefix);
    const auto answer_row =
        [&](const platform::reply<platform::table_row>& reply) {
            respond(
                answer_of(reply.outcome, platform::wire::encode(reply.value)));
        };
    const auto answer_text = [&](const platform::reply<std::string>& reply) {
        respond(answer_of(reply.outcome, reply.value));
    };
    if (message.target == "/hosts" && message.method == "PUT")
    {
        if (auto hosts = platform::wire::decode_hosts(message.body))
            m_state.hosts = std::move(*hosts);
        return respond({200, "{}"});
    }
    if (message.target == "/hosts")
        return m_state.list_hosts([&](const auto& reply) {
            respond(
                answer_of(reply.outcome, platform::wire::encode(reply.value)));
        });
    if (!row.empty() && message.method == "PUT")
    {
        const auto new_row = platform::wire::decode_row(message.body);
        if (!new_row)
            return respond(answer_of(platform_outcome::not_found, "{}"));
        return m_state.compare_and_set(row, new_row->version, new_row->value,
                                       answer_row);
    }
    if (!row.empty())
        return m_state.read_row(row, answer_row);
    if (!object.empty() && message.method == "PUT")
        return m_state.put_object(object, message.body, answer_text);
    if (!object.empty())
        return m_state.get_object(object, answer_text);
    respond(answer_of(platform_outcome::not_found, "{}"));
}

void platform_server::set_faults(const std::string& body,
                                 const http::responder& respond)
{
    try
    {
        const auto parsed = json::parse(body);
        const auto& fields = parsed.as_object();
        if (const auto* down = fields.if_contains("down"))
            m_state.down = down->as_bool();
        if (const auto* hung = fields.if_contains("hung"))
            m_hung = hung->as_bool();
        if (const auto* drop = fields.if_contains("drop_answers"))
            m_state.drop_answers = static_cast<int>(drop->as_int64());
        respond({200, "{}"});
    }
    catch (const std::exception&)
    {
        http::response response;
        response.status = 400;
        respond(response);
    }
}

} // namespace standin
