#pragma once

#include <plantainward/coordinator/request.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/http/message.hpp>
#include <plantainward/session/token.hpp>

#include <optional>
#include <string>

namespace plantainward::daemon
{

/// Header with the session token, in requests and responses.
inline constexpr std::string_view session_header = "Session-Token";

/// Response header with the id of the request in the event journal.
inline constexpr std::string_view request_id_header = "Request-Id";

/// Limits of a request to the caller interface.
struct api_limits
{
    /// Deadline of a request that names none.
    core::millis default_deadline{5000};
    /// A longer deadline is lowered to this one.
    core::millis max_deadline{30'000};
    std::size_t max_statements{256};
    std::size_t max_key_bytes{1024};
    std::size_t max_id_bytes{128};
};

/// A caller's request with its session; an empty session when it has none.
struct api_call
{
    coordinator::caller_request request;
    session::token session;
};

/// Decodes a request under `/v1/transactions`; when it is not valid, an empty
/// optional and the kind and text of the fault in `core::last_error`.
std::optional<api_call> decode_call(const http::request& message,
                                    const api_limits& limits,
                                    const session::token_codec& tokens);

/// The response for a reply, with the caller's updated session token.
///
/// A reply with an error becomes `encode_error`, which carries no token.
http::response encode_reply(const coordinator::caller_reply& reply,
                            const std::string& trace,
                            const std::string& session_text);

/// The response for an error: its HTTP status, its kind and reason, whether
/// the request ran, and when to retry.
http::response encode_error(core::error_kind kind, const std::string& reason,
                            const std::string& trace);

} // namespace plantainward::daemon
