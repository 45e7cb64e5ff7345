#include <plantainward/upstream/wire.hpp>

#include <plantainward/core/address.hpp>
#include <plantainward/core/last_error.hpp>

#include <exception>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace plantainward::upstream::wire
{

namespace json = boost::json;

namespace
{

std::string text_or_empty(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (value == nullptr || !value->is_string())
        return {};
    return std::string(value->get_string());
}

template <class Number>
Number number_or_zero(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    return value == nullptr ? Number{0} : value->to_number<Number>();
}

bool flag_or_false(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->get_bool();
}

json::array point_to_json(const log_point& point)
{
    return {point.term, point.position};
}

log_point point_from(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (value == nullptr)
        return {};
    const auto& pair = value->as_array();
    return {pair.at(0).to_number<term_number>(),
            pair.at(1).to_number<log_position>()};
}

/// Parses a JSON object and runs a decoder on it; an exception about malformed
/// input becomes an empty optional with the reason in `core::last_error`.
template <class Decoder>
auto guarded(std::string_view text, Decoder decode)
    -> decltype(decode(std::declval<const json::object&>()))
{
    try
    {
        return decode(json::parse(text).as_object());
    }
    catch (const std::exception& error)
    {
        return core::fail(core::error_kind::bad_request,
                          std::string("malformed message: ") + error.what());
    }
}

json::object to_json(const slot_status& status)
{
    return {{"slot", status.slot},
            {"role", role_names[status.acting]},
            {"granted", status.granted},
            {"last", point_to_json(status.last)},
            {"since_primary_contact_ms", status.since_primary_contact.count()}};
}

slot_status status_from(const json::object& object)
{
    slot_status status;
    status.slot = number_or_zero<int>(object, "slot");
    status.acting =
        role_names.find(text_or_empty(object, "role")).value_or(role::none);
    status.granted = number_or_zero<term_number>(object, "granted");
    status.last = point_from(object, "last");
    status.since_primary_contact = core::millis(
        number_or_zero<std::int64_t>(object, "since_primary_contact_ms"));
    return status;
}

} // namespace

json::value to_json(const statement& statement)
{
    json::object object{{"verb", verb_names[statement.operation]},
                        {"key", statement.key}};
    if (statement.operation == verb::put ||
        statement.operation == verb::put_if_absent)
        object["value"] = statement.value;
    if (statement.operation == verb::add)
        object["amount"] = statement.amount;
    return object;
}

std::optional<statement> statement_from(const json::value& json)
{
    const auto* object = json.if_object();
    if (object == nullptr)
        return core::fail(core::error_kind::bad_request,
                          "a statement must be an object");
    const auto name = text_or_empty(*object, "verb");
    const auto operation = verb_names.find(name);
    if (!operation)
        return core::fail(core::error_kind::bad_request,
                          "unknown verb '" + name + "'");
    statement decoded{*operation, text_or_empty(*object, "key"),
                      text_or_empty(*object, "value"), 0};
    if (decoded.key.empty())
        return core::fail(core::error_kind::bad_request,
                          "a statement needs a key");
    const auto* amount = object->if_contains("amount");
    if (amount != nullptr && !amount->is_int64())
        return core::fail(core::error_kind::bad_request,
                          "'amount' is not a whole number");
    if (amount != nullptr)
        decoded.amount = amount->get_int64();
    return decoded;
}

json::array to_json(const std::vector<statement>& statements)
{
    json::array array;
    for (const auto& item : statements)
        array.push_back(to_json(item));
    return array;
}

std::optional<std::vector<statement>> statements_from(const json::value& json)
{
    const auto* array = json.if_array();
    if (array == nullptr)
        return core::fail(core::error_kind::bad_request,
                          "'statements' is not an array");
    std::vector<statement> statements;
    for (const auto& item : *array)
    {
        auto decoded = statement_from(item);
        if (!decoded)
            return std::nullopt;
        statements.push_back(std::move(*decoded));
    }
    return statements;
}

json::array to_json(const std::vector<statement_result>& results)
{
    json::array array;
    for (const auto& result : results)
    {
        json::array rows;
        for (const auto& row : result.rows)
            rows.push_back(
                json::object{{"key", row.key}, {"value", row.value}});
        array.push_back(json::object{{"rows", std::move(rows)}});
    }
    return array;
}

std::vector<statement_result> results_from(const json::value& json)
{
    std::vector<statement_result> results;
    for (const auto& item : json.as_array())
    {
        statement_result result;
        for (const auto& row : item.as_object().at("rows").as_array())
            result.rows.push_back({text_or_empty(row.as_object(), "key"),
                                   text_or_empty(row.as_object(), "value")});
        results.push_back(std::move(result));
    }
    return results;
}

std::string encode(const run_order& order)
{
    return json::serialize(
        json::object{{"slot", order.slot},
                     {"kind", run_kind_names[order.kind]},
                     {"term", order.term},
                     {"at_least", point_to_json(order.at_least)},
                     {"id", order.id},
                     {"digest", order.digest},
                     {"statements", to_json(order.statements)}});
}

std::optional<run_order> decode_run_order(std::string_view text)
{
    return guarded(text, [](const json::object& object) {
        run_order order;
        order.slot = number_or_zero<int>(object, "slot");
        const auto kind = run_kind_names.find(text_or_empty(object, "kind"));
        auto statements = statements_from(object.at("statements"));
        if (!kind || !statements)
            return std::optional<run_order>{};
        order.kind = *kind;
        order.term = number_or_zero<term_number>(object, "term");
        order.at_least = point_from(object, "at_least");
        order.id = text_or_empty(object, "id");
        order.digest = text_or_empty(object, "digest");
        order.statements = std::move(*statements);
        return std::optional(std::move(order));
    });
}

std::string encode(const run_result& result)
{
    if (result.outcome != run_outcome::answered)
        return json::serialize(
            json::object{{"refused", core::name_of(result.refusal)},
                         {"reason", result.reason}});
    return json::serialize(
        json::object{{"results", to_json(result.answer.results)},
                     {"seen", point_to_json(result.answer.seen)},
                     {"replayed", result.answer.replayed},
                     {"voided", result.answer.voided},
                     {"in_transaction", result.answer.in_transaction}});
}

std::optional<run_result> decode_run_result(std::string_view text)
{
    return guarded(text, [](const json::object& object) {
        run_result result;
        if (object.contains("refused"))
        {
            const auto kind =
                core::error_kind_named(text_or_empty(object, "refused"));
            if (!kind)
                return std::optional<run_result>{};
            result.outcome = run_outcome::refused;
            result.refusal = *kind;
            result.reason = text_or_empty(object, "reason");
            return std::optional(std::move(result));
        }
        result.outcome = run_outcome::answered;
        result.answer.results = results_from(object.at("results"));
        result.answer.seen = point_from(object, "seen");
        result.answer.replayed = flag_or_false(object, "replayed");
        result.answer.voided = flag_or_false(object, "voided");
        result.answer.in_transaction = flag_or_false(object, "in_transaction");
        return std::optional(std::move(result));
    });
}

std::string encode(const control_order& order)
{
    return json::serialize(
        json::object{{"kind", control_kind_names[order.kind]},
                     {"slot", order.slot},
                     {"term", order.term},
                     {"claimant", order.claimant},
                     {"primary", core::to_string(order.primary)},
                     {"wait_for", point_to_json(order.wait_for)},
                     {"wait_ms", order.wait.count()}});
}

std::optional<control_order> decode_control_order(std::string_view text)
{
    return guarded(text, [](const json::object& object) {
        control_order order;
        const auto kind =
            control_kind_names.find(text_or_empty(object, "kind"));
        if (!kind)
            return std::optional<control_order>{};
        order.kind = *kind;
        order.slot = number_or_zero<int>(object, "slot");
        order.term = number_or_zero<term_number>(object, "term");
        order.claimant = text_or_empty(object, "claimant");
        order.primary = core::parse_address(text_or_empty(object, "primary"))
                            .value_or(core::address{});
        order.wait_for = point_from(object, "wait_for");
        order.wait =
            core::millis(number_or_zero<std::int64_t>(object, "wait_ms"));
        return std::optional(std::move(order));
    });
}

std::string encode(const control_result& result)
{
    json::array slots;
    for (const auto& status : result.status)
        slots.push_back(to_json(status));
    return json::serialize(
        json::object{{"accepted", result.outcome == control_outcome::accepted},
                     {"slots", std::move(slots)}});
}

std::optional<control_result> decode_control_result(std::string_view text)
{
    return guarded(text, [](const json::object& object) {
        control_result result;
        result.outcome = flag_or_false(object, "accepted")
                             ? control_outcome::accepted
                             : control_outcome::refused;
        for (const auto& status : object.at("slots").as_array())
            result.status.push_back(status_from(status.as_object()));
        return std::optional(std::move(result));
    });
}

} // namespace plantainward::upstream::wire
