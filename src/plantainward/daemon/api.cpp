#include <plantainward/daemon/api.hpp>

#include <plantainward/coordinator/transaction_table.hpp>
#include <plantainward/core/last_error.hpp>
#include <plantainward/upstream/wire.hpp>

#include <algorithm>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace plantainward::daemon
{

namespace json = boost::json;
using coordinator::caller_request;
using coordinator::request_kind;
using core::error_kind;
using core::fail;

namespace
{

constexpr std::string_view transactions_path = "/v1/transactions";
constexpr std::string_view default_tenant = "default";
constexpr std::size_t max_tenant_bytes = 64;

/// Reads the fields of a body; keeps the first error.
class body_reader
{
public:
    explicit body_reader(const json::object& body) : m_body(body) {}

    std::string text(std::string_view key, std::string default_value,
                     std::size_t max_bytes)
    {
        const auto* value = m_body.if_contains(key);
        if (value == nullptr)
            return default_value;
        if (!value->is_string() || value->get_string().size() > max_bytes)
        {
            record_error(key, "must be a text of at most " +
                                  std::to_string(max_bytes) + " bytes");
            return default_value;
        }
        return std::string(value->get_string());
    }

    std::int64_t number(std::string_view key, std::int64_t default_value,
                        std::int64_t min_value)
    {
        const auto* value = m_body.if_contains(key);
        if (value == nullptr)
            return default_value;
        if (!value->is_int64() || value->get_int64() < min_value)
        {
            record_error(key, "must be a whole number from " +
                                  std::to_string(min_value));
            return default_value;
        }
        return value->get_int64();
    }

    template <class Names>
    auto name(std::string_view key, std::string_view default_name,
              const Names& names)
    {
        const auto name_text = text(key, std::string(default_name), 32);
        const auto value = names.find(name_text);
        if (!value)
            record_error(key, "is not a known name");
        return value ? *value : *names.find(default_name);
    }

    void record_error(std::string_view key, const std::string& error)
    {
        if (m_error.empty())
            m_error = "'" + std::string(key) + "' " + error;
    }

    const std::string& error() const { return m_error; }

private:
    const json::object& m_body;
    std::string m_error;
};

/// The kind of request that a target names, and its transaction handle.
struct target_parts
{
    request_kind kind{request_kind::one_shot};
    std::string transaction;
};

std::optional<target_parts> parse_target(std::string_view target)
{
    if (target == transactions_path)
        return target_parts{};
    if (target == "/v1/transactions/begin")
        return target_parts{request_kind::begin, {}};
    if (!target.starts_with(transactions_path) ||
        target[transactions_path.size()] != '/')
        return std::nullopt;
    const auto rest = target.substr(transactions_path.size() + 1);
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto verb = rest.substr(slash + 1);
    target_parts parts{request_kind::execute,
                       std::string(rest.substr(0, slash))};
    if (verb == "commit")
        parts.kind = request_kind::commit;
    else if (verb == "rollback")
        parts.kind = request_kind::rollback;
    else if (verb != "statements")
        return std::nullopt;
    return parts;
}

void read_statements(const json::object& body, const api_limits& limits,
                     caller_request& request, body_reader& reader)
{
    const auto* statements_json = body.if_contains("statements");
    const bool has_statements = request.kind == request_kind::one_shot ||
                                request.kind == request_kind::execute;
    if (!has_statements)
        return;
    auto statements = statements_json == nullptr
                          ? std::nullopt
                          : upstream::wire::statements_from(*statements_json);
    if (!statements || statements->empty() ||
        statements->size() > limits.max_statements)
        return reader.record_error(
            "statements", statements_json != nullptr && !statements
                              ? ": " + core::last_error().text
                              : "must be an array of 1 to " +
                                    std::to_string(limits.max_statements));
    const bool too_long = std::any_of(
        statements->begin(), statements->end(), [&](const auto& statement) {
            return statement.key.size() > limits.max_key_bytes;
        });
    if (too_long)
        reader.record_error("statements", "has a key over the length limit");
    request.statements = std::move(*statements);
}

void read_body(const json::object& body, const api_limits& limits,
               caller_request& request, body_reader& reader)
{
    if (request.transaction.empty())
    {
        request.service = reader.text("service", {}, 64);
        request.slot = static_cast<int>(reader.number("slot", 0, 0));
        if (request.service.empty())
            reader.record_error("service", "must be given");
    }
    request.required_freshness =
        reader.name("read", "latest", coordinator::freshness_names);
    request.max_age = core::millis(reader.number("max_age_ms", -1, 0));
    const bool wants_age =
        request.required_freshness == coordinator::freshness::max_age;
    if (wants_age != (request.max_age >= core::millis(0)))
        reader.record_error(
            "max_age_ms",
            "must be given with \"read\": \"max_age\" and only there");
    request.id = reader.text("id", {}, limits.max_id_bytes);
    request.tenant =
        reader.text("tenant", std::string(default_tenant), max_tenant_bytes);
    request.klass =
        reader.name("class", "booking", coordinator::request_class_names);
    const core::millis deadline(
        reader.number("deadline_ms", limits.default_deadline.count(), 1));
    request.time_left = std::min(deadline, limits.max_deadline);
    read_statements(body, limits, request, reader);
}

} // namespace

std::optional<api_call> decode_call(const http::request& message,
                                    const api_limits& limits,
                                    const session::token_codec& tokens)
{
    const auto target = parse_target(message.target);
    if (!target)
        return fail(error_kind::not_found, "no such resource");
    if (message.method != "POST")
        return fail(error_kind::bad_request, "transactions accept only POST");
    api_call call;
    const auto session_text = message.header(session_header);
    if (!session_text.empty())
    {
        auto session = tokens.decode(session_text);
        if (!session)
            return std::nullopt;
        call.session = std::move(*session);
    }
    auto& request = call.request;
    request.kind = target->kind;
    request.transaction = target->transaction;
    if (!request.transaction.empty())
    {
        const auto parts = coordinator::parse_handle(request.transaction);
        if (!parts)
            return fail(error_kind::not_found, "malformed transaction handle");
        request.service = parts->service;
        request.slot = parts->slot;
    }
    boost::system::error_code parse_error;
    const auto body =
        json::parse(message.body.empty() ? "{}" : message.body, parse_error);
    if (parse_error || !body.is_object())
        return fail(error_kind::bad_request, "the body is not a JSON object");
    body_reader reader(body.get_object());
    read_body(body.get_object(), limits, request, reader);
    if (!reader.error().empty())
        return fail(error_kind::bad_request, reader.error());
    const auto last_seen = call.session.seen({request.service, request.slot});
    request.session = {last_seen.first, last_seen.second};
    return call;
}

http::response encode_reply(const coordinator::caller_reply& reply,
                            const std::string& trace,
                            const std::string& session_text)
{
    if (reply.error)
        return encode_error(*reply.error, reply.reason, trace);
    json::object body{{"outcome", core::name_of(core::effect::done)},
                      {"results", upstream::wire::to_json(reply.results)},
                      {"replayed", reply.replayed},
                      {"from_replica", reply.from_replica},
                      {"request", trace}};
    if (reply.from_replica)
        body["age_ms"] = reply.age_ms;
    if (!reply.transaction.empty())
        body["transaction"] = reply.transaction;
    http::response response;
    response.body = json::serialize(body);
    response.fields.emplace_back(session_header, session_text);
    response.fields.emplace_back(request_id_header, trace);
    return response;
}

http::response encode_error(error_kind kind, const std::string& reason,
                            const std::string& trace)
{
    const auto& answer = core::answer_for(kind);
    http::response response;
    response.status = answer.http_status;
    response.body = json::serialize(json::object{
        {"outcome", core::name_of(answer.ran)},
        {"error", json::object{{"kind", answer.name},
                               {"reason", reason},
                               {"ran", core::name_of(answer.ran)},
                               {"retryable", answer.retryable},
                               {"retry_after_ms", answer.retry_after_ms}}},
        {"request", trace}});
    response.fields.emplace_back(request_id_header, trace);
    return response;
}

} // namespace plantainward::daemon
