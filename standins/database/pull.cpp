#include <database/pull.hpp>

#include <plantainward/upstream/wire.hpp>

#include <exception>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace standin
{

namespace json = boost::json;
namespace upstream = plantainward::upstream;

namespace
{

json::object to_json(const log_entry& entry)
{
    json::array writes;
    for (const auto& [key, value] : entry.writes)
    {
        json::array pair{key};
        if (value)
            pair.push_back(json::string(*value));
        writes.push_back(std::move(pair));
    }
    return {{"term", entry.term},
            {"id", entry.id},
            {"digest", entry.digest},
            {"voids", entry.voids_id},
            {"writes", std::move(writes)},
            {"results", upstream::wire::to_json(entry.results)}};
}

log_entry entry_from(const json::object& fields)
{
    log_entry entry;
    entry.term = fields.at("term").to_number<upstream::term_number>();
    entry.id = std::string(fields.at("id").as_string());
    entry.digest = std::string(fields.at("digest").as_string());
    entry.voids_id = fields.at("voids").as_bool();
    for (const auto& item : fields.at("writes").as_array())
    {
        const auto& pair = item.as_array();
        key_write write{std::string(pair.at(0).as_string()), std::nullopt};
        if (pair.size() > 1)
            write.second = std::string(pair.at(1).as_string());
        entry.writes.push_back(std::move(write));
    }
    entry.results = upstream::wire::results_from(fields.at("results"));
    return entry;
}

} // namespace

std::string encode(const pull_request& request)
{
    json::array ends;
    for (const auto& end : request.order.term_ends)
        ends.push_back(json::array{end.term, end.position});
    return json::serialize(json::object{{"slot", request.order.slot},
                                        {"term", request.order.term},
                                        {"term_ends", std::move(ends)},
                                        {"lag_ms", request.lag_ms}});
}

std::optional<pull_request> decode_pull_request(std::string_view text)
{
    try
    {
        const auto parsed = json::parse({text.data(), text.size()});
        const auto& fields = parsed.as_object();
        pull_request request;
        request.order.slot = fields.at("slot").to_number<int>();
        request.order.term =
            fields.at("term").to_number<upstream::term_number>();
        for (const auto& end : fields.at("term_ends").as_array())
            request.order.term_ends.push_back(
                {end.as_array().at(0).to_number<upstream::term_number>(),
                 end.as_array().at(1).to_number<upstream::log_position>()});
        request.lag_ms = fields.at("lag_ms").to_number<int>();
        return request;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

std::string encode(const pull_reply& reply)
{
    json::array entries;
    for (const auto& entry : reply.entries)
        entries.push_back(to_json(entry));
    return json::serialize(json::object{{"accepted", reply.accepted},
                                        {"term", reply.term},
                                        {"common", reply.common},
                                        {"entries", std::move(entries)}});
}

std::optional<pull_reply> decode_pull_reply(std::string_view text)
{
    try
    {
        const auto parsed = json::parse({text.data(), text.size()});
        const auto& fields = parsed.as_object();
        pull_reply reply;
        reply.accepted = fields.at("accepted").as_bool();
        reply.term = fields.at("term").to_number<upstream::term_number>();
        reply.common = fields.at("common").to_number<upstream::log_position>();
        for (const auto& entry : fields.at("entries").as_array())
            reply.entries.push_back(entry_from(entry.as_object()));
        return reply;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

} // namespace standin
