#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainward::peer
{

/// Kind of a frame on a link between two proxies.
enum class frame_kind : std::uint8_t
{
    /// A caller's request for the receiver's coordinator.
    request,
    reply,
    /// Requests the configuration in force.
    fetch_revision,
    revision,
    /// Answers a frame that the receiver does not serve or can't decode.
    refused,
    /// A statement that the receiver runs for a session of the sender.
    statement,
    statement_reply,
    /// An operation of the sender has ended.
    end_operation,
    /// Checks that the receiver still answers; answered with a probe.
    probe,
    /// Requests tables that are newer than those of the sender.
    fetch_table_update,
    /// The newer tables.
    table_update,
    /// Requests tokens of a workspace that the receiver may own.
    request_tokens,
    grant_tokens
};

/// One message on a link; an answer has the number of its request.
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
inline constexpr std::size_t max_frame_bytes = std::size_t{64} * 1024 * 1024;

/// Bytes before the body of a frame: the length of the body and the version.
inline constexpr std::size_t frame_header_bytes = 5;

/// The bytes of a frame with its header.
std::string encode(const frame& message);

/// The length of the body in bytes according to a header; empty optional when
/// the version is another or the length exceeds `max_frame_bytes`.
std::optional<std::size_t> decode_header(std::string_view header);

/// Decodes a body; empty optional when it is malformed.
std::optional<frame> decode_body(std::string_view body);

} // namespace plantainward::peer
