#pragma once

#include <plantainward/pooling/forwarded_work.hpp>
#include <plantainward/quota/token_grant.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainward::relay
{

/// A statement that one host sends to another, which runs it.
struct statement_message
{
    /// Name of the sending process; differs after a restart of the host.
    std::string origin;
    pooling::operation_id operation{0};
    pooling::forwarded_work work;
};

/// An operation has ended at its origin.
struct end_message
{
    std::string origin;
    pooling::operation_id operation{0};
};

/// A host requests tokens of a workspace.
struct token_request_message
{
    /// Name of the sending process.
    std::string origin;
    std::uint64_t request{0};
    std::string workspace;
    std::uint32_t count{0};
};

// An encoded message starts with its digest. Decoders give an empty optional
// with a reason when the bytes are damaged.

std::string encode(const statement_message& message);
std::optional<statement_message> decode_statement(std::string_view bytes);

std::string encode(const end_message& message);
std::optional<end_message> decode_end(std::string_view bytes);

std::string encode(const token_request_message& message);
std::optional<token_request_message>
decode_token_request(std::string_view bytes);

std::string encode(const quota::token_grant& grant);
std::optional<quota::token_grant> decode_grant(std::string_view bytes);

std::string encode(const pooling::forwarded_reply& reply);
std::optional<pooling::forwarded_reply> decode_reply(std::string_view bytes);

} // namespace plantainward::relay
