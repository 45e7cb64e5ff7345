#include <plantainward/core/address.hpp>

#include <plantainward/core/last_error.hpp>

#include <charconv>

namespace plantainward::core
{

std::optional<address> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return fail(error_kind::bad_request,
                    "'" + std::string(text) + "' is not ip:port");
    const auto digits = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size() ||
        port > 65535)
        return fail(error_kind::bad_request,
                    "'" + std::string(digits) + "' is not a port");
    return address{std::string(text.substr(0, colon)),
                   static_cast<std::uint16_t>(port)};
}

} // namespace plantainward::core
