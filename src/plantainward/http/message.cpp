#include <plantainward/http/message.hpp>

#include <boost/beast/core/string.hpp>

namespace plantainward::http
{

std::string_view request::header(std::string_view name) const
{
    for (const auto& [key, value] : fields)
        if (boost::beast::iequals(key, name))
            return value;
    return {};
}

} // namespace plantainward::http
