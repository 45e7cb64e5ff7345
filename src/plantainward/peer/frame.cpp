#include <plantainward/peer/frame.hpp>

#include <plantainward/core/archive.hpp>
#include <plantainward/core/last_error.hpp>

#include <cereal/types/string.hpp>

namespace plantainward::peer
{

namespace
{

constexpr char frame_version = 1;

} // namespace

std::string encode(const frame& message)
{
    const auto body = core::to_bytes(message);
    std::string bytes;
    bytes.reserve(frame_header_bytes + body.size());
    for (unsigned shift = 0; shift < 32; shift += 8)
        bytes += static_cast<char>((body.size() >> shift) & 0xFFU);
    bytes += frame_version;
    bytes += body;
    return bytes;
}

std::optional<std::size_t> decode_header(std::string_view header)
{
    std::size_t length = 0;
    for (unsigned i = 0; i < 4; ++i)
        length |=
            static_cast<std::size_t>(static_cast<unsigned char>(header[i]))
            << (8 * i);
    if (header[4] != frame_version || length > max_frame_bytes)
        return core::fail(
            core::error_kind::bad_request,
            "the frame has another version or exceeds the length limit");
    return length;
}

std::optional<frame> decode_body(std::string_view body)
{
    return core::from_bytes<frame>(body, "frame of a peer");
}

} // namespace plantainward::peer
