#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainward::peer
{

/// Purpose of a frame on a link between two proxies.
enum class frame_kind : std::uint8_t
{
    /// A caller's request for the coordinator.
    request,
    reply,
    /// Asks for the configuration in force.
    fetch_revision,
    revision,
    /// The receiver does not serve this kind.
    refused,
    /// A statement that the receiver runs for a session of the sender.
    statement,
    statement_reply,
    /// An operation of the sender has ended.
    end_operation,
    /// Asks whether the receiver still answers; answered in kind.
    probe,
    /// Asks for tables that are newer than those of the sender.
    fetch_table_update,
    table_update
};

/// One message on a link; the number matches an answer to its request.
struct frame
{
    frame_kind kind{frame_kind::request};
    std::uint64_t number{0};
    std::string payload;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, number, payload);
    }
};

/// Largest frame that is sent or accepted, in bytes.
inline constexpr std::size_t max_frame = std::size_t{64} * 1024 * 1024;

/// Bytes before the body of a frame: its length and its version.
inline constexpr std::size_t frame_header_bytes = 5;

/// The bytes of a frame with its header.
std::string encode(const frame& one);

/// Length of the body that a header announces; empty optional when the
/// version is another or the length is beyond the bound.
std::optional<std::size_t> decode_header(std::string_view header);

/// The frame in a body; empty optional when malformed.
std::optional<frame> decode_body(std::string_view body);

} // namespace plantainward::peer
