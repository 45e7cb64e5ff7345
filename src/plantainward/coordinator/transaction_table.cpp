#include <plantainward/coordinator/transaction_table.hpp>

#include <plantainward/core/digest.hpp>

#include <charconv>
#include <sstream>
#include <utility>

namespace plantainward::coordinator
{

namespace
{

constexpr char separator = '~';
constexpr std::size_t signature_bytes = 12;
constexpr std::size_t part_count = 5;

} // namespace

std::string transaction_table::add(open_transaction transaction)
{
    const auto number = std::to_string(++m_last_number);
    const auto signature = core::base64url_encode(
        core::hmac_sha256(m_secret, number).substr(0, signature_bytes));
    auto handle = m_instance + separator + m_service + separator +
                  std::to_string(transaction.slot) + separator + number +
                  separator + signature;
    m_open.emplace(handle, std::move(transaction));
    return handle;
}

open_transaction* transaction_table::find(const std::string& handle)
{
    const auto found = m_open.find(handle);
    return found == m_open.end() ? nullptr : &found->second;
}

std::optional<handle_parts> parse_handle(std::string_view handle)
{
    std::vector<std::string> parts;
    std::istringstream in{std::string(handle)};
    for (std::string part; std::getline(in, part, separator);)
        parts.push_back(part);
    if (parts.size() != part_count || parts[2].empty())
        return std::nullopt;
    handle_parts parsed{parts[0], parts[1], 0};
    const auto* end = parts[2].data() + parts[2].size();
    const auto [stop, error] =
        std::from_chars(parts[2].data(), end, parsed.slot);
    if (error != std::errc{} || stop != end)
        return std::nullopt;
    return parsed;
}

} // namespace plantainward::coordinator
