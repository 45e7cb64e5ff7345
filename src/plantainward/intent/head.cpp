#include <plantainward/intent/head.hpp>

#include <plantainward/core/last_error.hpp>

#include <exception>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace plantainward::intent
{

namespace json = boost::json;

std::string encode(const head& current)
{
    return json::serialize(json::object{{"digest", current.digest},
                                        {"writer", current.writer},
                                        {"author", current.author}});
}

std::optional<head> decode_head(std::string_view value, std::uint64_t version)
{
    try
    {
        const auto fields = json::parse({value.data(), value.size()});
        return head{version, std::string(fields.at("digest").as_string()),
                    std::string(fields.at("writer").as_string()),
                    std::string(fields.at("author").as_string())};
    }
    catch (const std::exception& error)
    {
        return core::fail(core::error_kind::platform_down,
                          std::string("malformed head row: ") + error.what());
    }
}

} // namespace plantainward::intent
