#pragma once

#include <plantainward/coordinator/request.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/http/message.hpp>
#include <plantainward/session/token.hpp>

#include <optional>
#include <string>

namespace plantainward::daemon
{

/// Header that carries the session token, in requests and answers.
inline constexpr std::string_view session_header = "Session-Token";

/// Header that carries the id under which a request is explained.
inline constexpr std::string_view request_id_header = "Request-Id";

/// Bounds that the caller interface puts on a request.
struct api_limits
{
    core::millis default_deadline{5000};
    core::millis max_deadline{30'000};
    std::size_t max_statements{256};
    std::size_t max_key_bytes{1024};
    std::size_t max_id_bytes{128};
};

/// A caller's request with the session that came with it.
struct api_call
{
    coordinator::caller_request request;
    session::token session;
};

/// Reads a request under `/v1/transactions`; empty optional with a reason.
std::optional<api_call> decode_call(const http::request& message,
                                    const api_limits& limits,
                                    const session::token_codec& tokens);

/// The answer to a caller, with the session after it.
http::response encode_reply(const coordinator::caller_reply& reply,
                            const std::string& trace,
                            const std::string& session_text);

/// The answer for an error outside any transaction.
http::response encode_error(core::error_kind kind, const std::string& reason,
                            const std::string& trace);

} // namespace plantainward::daemon
