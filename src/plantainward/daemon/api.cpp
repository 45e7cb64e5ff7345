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

constexpr std::string_view base = "/v1/transactions";
constexpr std::string_view default_tenant = "default";
constexpr std::size_t max_tenant_bytes = 64;

/// Reads the fields of a body; the first fault is kept.
class body_reader
{
public:
    explicit body_reader(const json::object& from) : m_from(from) {}

    std::string text(std::string_view key, std::string fallback,
                     std::size_t most)
    {
        const auto* found = m_from.if_contains(key);
        if (found == nullptr)
            return fallback;
        if (!found->is_string() || found->get_string().size() > most)
        {
            blame(key, "must be a text of at most " + std::to_string(most) +
                           " bytes");
            return fallback;
        }
        return std::string(found->get_string());
    }

    std::int64_t number(std::string_view key, std::int64_t fallback,
                        std::int64_t least)
    {
        const auto* found = m_from.if_contains(key);
        if (found == nullptr)
            return fallback;
        if (!found->is_int64() || found->get_int64() < least)
        {
            blame(key, "must be a whole number from " + std::to_string(least));
            return fallback;
        }
        return found->get_int64();
    }

    template <class Names>
    auto name(std::string_view key, std::string_view fallback,
              const Names& names)
    {
        const auto given = text(key, std::string(fallback), 32);
        const auto found = names.find(given);
        if (!found)
            blame(key, "is not a known name");
        return found ? *found : *names.find(fallback);
    }

    void blame(std::string_view key, const std::string& fault)
    {
        if (m_fault.empty())
            m_fault = "'" + std::string(key) + "' " + fault;
    }

    const std::string& fault() const { return m_fault; }

private:
    const json::object& m_from;
    std::string m_fault;
};

/// What a target names: the kind of the request and its transaction.
struct target_parts
{
    request_kind kind{request_kind::one_shot};
    std::string transaction;
};

std::optional<target_parts> parse_target(std::string_view target)
{
    if (target == base)
        return target_parts{};
    if (target == "/v1/transactions/begin")
        return target_parts{request_kind::begin, {}};
    if (!target.starts_with(base) || target[base.size()] != '/')
        return std::nullopt;
    const auto rest = target.substr(base.size() + 1);
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto verb = rest.substr(slash + 1);
    target_parts made{request_kind::execute,
                      std::string(rest.substr(0, slash))};
    if (verb == "commit")
        made.kind = request_kind::commit;
    else if (verb == "rollback")
        made.kind = request_kind::rollback;
    else if (verb != "statements")
        return std::nullopt;
    return made;
}

void read_statements(const json::object& from, const api_limits& limits,
                     caller_request& request, body_reader& reader)
{
    const auto* given = from.if_contains("statements");
    const bool takes_statements = request.kind == request_kind::one_shot ||
                                  request.kind == request_kind::execute;
    if (!takes_statements)
        return;
    auto statements = given == nullptr
                          ? std::nullopt
                          : upstream::wire::statements_from(*given);
    if (!statements || statements->empty() ||
        statements->size() > limits.max_statements)
        return reader.blame("statements",
                            given != nullptr && !statements
                                ? ": " + core::last_error().text
                                : "must be an array of 1 to " +
                                      std::to_string(limits.max_statements));
    const bool too_long = std::any_of(
        statements->begin(), statements->end(),
        [&](const auto& one) { return one.key.size() > limits.max_key_bytes; });
    if (too_long)
        reader.blame("statements", "has a key that is too long");
    request.statements = std::move(*statements);
}

void read_body(const json::object& from, const api_limits& limits,
               caller_request& request, body_reader& reader)
{
    if (request.transaction.empty())
    {
        request.service = reader.text("service", {}, 64);
        request.slot = static_cast<int>(reader.number("slot", 0, 0));
        if (request.service.empty())
            reader.blame("service", "must be given");
    }
    request.required_freshness =
        reader.name("read", "latest", coordinator::freshness_names);
    request.max_age = core::millis(reader.number("max_age_ms", -1, 0));
    const bool wants_age =
        request.required_freshness == coordinator::freshness::max_age;
    if (wants_age != (request.max_age >= core::millis(0)))
        reader.blame("max_age_ms", "goes with \"read\": \"max_age\"");
    request.id = reader.text("id", {}, limits.max_id_bytes);
    request.tenant =
        reader.text("tenant", std::string(default_tenant), max_tenant_bytes);
    request.klass =
        reader.name("class", "booking", coordinator::request_class_names);
    const core::millis deadline(
        reader.number("deadline_ms", limits.default_deadline.count(), 1));
    request.time_left = std::min(deadline, limits.max_deadline);
    read_statements(from, limits, request, reader);
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
        return fail(error_kind::bad_request, "transactions take POST");
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
    boost::system::error_code bad;
    const auto body =
        json::parse(message.body.empty() ? "{}" : message.body, bad);
    if (bad || !body.is_object())
        return fail(error_kind::bad_request, "the body is not a JSON object");
    body_reader reader(body.get_object());
    read_body(body.get_object(), limits, request, reader);
    if (!reader.fault().empty())
        return fail(error_kind::bad_request, reader.fault());
    const auto seen = call.session.seen({request.service, request.slot});
    request.session = {seen.first, seen.second};
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
    http::response made;
    made.body = json::serialize(body);
    made.fields.emplace_back(session_header, session_text);
    made.fields.emplace_back(request_id_header, trace);
    return made;
}

http::response encode_error(error_kind kind, const std::string& reason,
                            const std::string& trace)
{
    const auto& row = core::answer_for(kind);
    http::response made;
    made.status = row.http_status;
    made.body = json::serialize(json::object{
        {"outcome", core::name_of(row.ran)},
        {"error", json::object{{"kind", row.name},
                               {"reason", reason},
                               {"ran", core::name_of(row.ran)},
                               {"retryable", row.retryable},
                               {"retry_after_ms", row.retry_after_ms}}},
        {"request", trace}});
    made.fields.emplace_back(request_id_header, trace);
    return made;
}

} // namespace plantainward::daemon
