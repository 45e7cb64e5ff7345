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

std::string text_or_empty(const json::object& from, std::string_view key)
{
    const auto* found = from.if_contains(key);
    if (found == nullptr || !found->is_string())
        return {};
    return std::string(found->get_string());
}

template <class Number>
Number number_or_zero(const json::object& from, std::string_view key)
{
    const auto* found = from.if_contains(key);
    return found == nullptr ? Number{0} : found->to_number<Number>();
}

bool flag(const json::object& from, std::string_view key)
{
    const auto* found = from.if_contains(key);
    return found != nullptr && found->is_bool() && found->get_bool();
}

json::array point_to_json(const log_point& point)
{
    return {point.term, point.position};
}

log_point point_from(const json::object& from, std::string_view key)
{
    const auto* found = from.if_contains(key);
    if (found == nullptr)
        return {};
    const auto& pair = found->as_array();
    return {pair.at(0).to_number<term_number>(),
            pair.at(1).to_number<log_position>()};
}

/// Runs a decoder; any malformed value becomes an empty optional.
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

json::object to_json(const slot_status& one)
{
    return {{"slot", one.slot},
            {"role", role_names[one.acting]},
            {"granted", one.granted},
            {"last", point_to_json(one.last)},
            {"since_primary_contact_ms", one.since_primary_contact.count()}};
}

slot_status status_from(const json::object& from)
{
    slot_status one;
    one.slot = number_or_zero<int>(from, "slot");
    one.acting =
        role_names.find(text_or_empty(from, "role")).value_or(role::none);
    one.granted = number_or_zero<term_number>(from, "granted");
    one.last = point_from(from, "last");
    one.since_primary_contact = core::millis(
        number_or_zero<std::int64_t>(from, "since_primary_contact_ms"));
    return one;
}

} // namespace

json::value to_json(const statement& one)
{
    json::object made{{"verb", verb_names[one.operation]}, {"key", one.key}};
    if (one.operation == verb::put || one.operation == verb::put_if_absent)
        made["value"] = one.value;
    if (one.operation == verb::add)
        made["amount"] = one.amount;
    return made;
}

std::optional<statement> statement_from(const json::value& from)
{
    const auto* object = from.if_object();
    if (object == nullptr)
        return core::fail(core::error_kind::bad_request,
                          "a statement is an object");
    const auto name = text_or_empty(*object, "verb");
    const auto what = verb_names.find(name);
    if (!what)
        return core::fail(core::error_kind::bad_request,
                          "unknown verb '" + name + "'");
    statement one{*what, text_or_empty(*object, "key"),
                  text_or_empty(*object, "value"), 0};
    if (one.key.empty())
        return core::fail(core::error_kind::bad_request,
                          "a statement needs a key");
    const auto* amount = object->if_contains("amount");
    if (amount != nullptr && !amount->is_int64())
        return core::fail(core::error_kind::bad_request,
                          "amount is not a whole number");
    if (amount != nullptr)
        one.amount = amount->get_int64();
    return one;
}

json::array to_json(const std::vector<statement>& all)
{
    json::array made;
    for (const auto& one : all)
        made.push_back(to_json(one));
    return made;
}

std::optional<std::vector<statement>> statements_from(const json::value& from)
{
    const auto* array = from.if_array();
    if (array == nullptr)
        return core::fail(core::error_kind::bad_request,
                          "statements is not an array");
    std::vector<statement> all;
    for (const auto& item : *array)
    {
        auto one = statement_from(item);
        if (!one)
            return std::nullopt;
        all.push_back(std::move(*one));
    }
    return all;
}

json::array to_json(const std::vector<statement_result>& all)
{
    json::array made;
    for (const auto& one : all)
    {
        json::array rows;
        for (const auto& item : one.rows)
            rows.push_back(
                json::object{{"key", item.key}, {"value", item.value}});
        made.push_back(json::object{{"rows", std::move(rows)}});
    }
    return made;
}

std::vector<statement_result> results_from(const json::value& from)
{
    std::vector<statement_result> all;
    for (const auto& item : from.as_array())
    {
        statement_result one;
        for (const auto& line : item.as_object().at("rows").as_array())
            one.rows.push_back({text_or_empty(line.as_object(), "key"),
                                text_or_empty(line.as_object(), "value")});
        all.push_back(std::move(one));
    }
    return all;
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
    return guarded(text, [](const json::object& from) {
        run_order order;
        order.slot = number_or_zero<int>(from, "slot");
        const auto kind = run_kind_names.find(text_or_empty(from, "kind"));
        auto statements = statements_from(from.at("statements"));
        if (!kind || !statements)
            return std::optional<run_order>{};
        order.kind = *kind;
        order.term = number_or_zero<term_number>(from, "term");
        order.at_least = point_from(from, "at_least");
        order.id = text_or_empty(from, "id");
        order.digest = text_or_empty(from, "digest");
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
    return guarded(text, [](const json::object& from) {
        run_result result;
        if (from.contains("refused"))
        {
            const auto kind =
                core::error_kind_named(text_or_empty(from, "refused"));
            if (!kind)
                return std::optional<run_result>{};
            result.outcome = run_outcome::refused;
            result.refusal = *kind;
            result.reason = text_or_empty(from, "reason");
            return std::optional(std::move(result));
        }
        result.outcome = run_outcome::answered;
        result.answer.results = results_from(from.at("results"));
        result.answer.seen = point_from(from, "seen");
        result.answer.replayed = flag(from, "replayed");
        result.answer.voided = flag(from, "voided");
        result.answer.in_transaction = flag(from, "in_transaction");
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
    return guarded(text, [](const json::object& from) {
        control_order order;
        const auto kind = control_kind_names.find(text_or_empty(from, "kind"));
        if (!kind)
            return std::optional<control_order>{};
        order.kind = *kind;
        order.slot = number_or_zero<int>(from, "slot");
        order.term = number_or_zero<term_number>(from, "term");
        order.claimant = text_or_empty(from, "claimant");
        order.primary = core::parse_address(text_or_empty(from, "primary"))
                            .value_or(core::address{});
        order.wait_for = point_from(from, "wait_for");
        order.wait =
            core::millis(number_or_zero<std::int64_t>(from, "wait_ms"));
        return std::optional(std::move(order));
    });
}

std::string encode(const control_result& result)
{
    json::array slots;
    for (const auto& one : result.status)
        slots.push_back(to_json(one));
    return json::serialize(
        json::object{{"accepted", result.outcome == control_outcome::accepted},
                     {"slots", std::move(slots)}});
}

std::optional<control_result> decode_control_result(std::string_view text)
{
    return guarded(text, [](const json::object& from) {
        control_result result;
        result.outcome = flag(from, "accepted") ? control_outcome::accepted
                                                : control_outcome::refused;
        for (const auto& one : from.at("slots").as_array())
            result.status.push_back(status_from(one.as_object()));
        return std::optional(std::move(result));
    });
}

} // namespace plantainward::upstream::wire
