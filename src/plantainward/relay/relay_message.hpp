#pragma once

#include <plantainward/pooling/forwarded_work.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace plantainward::relay
{

/// A statement that one host sends to another.
struct statement_message
{
    /// Process that sends it; another one after a restart of the host.
    std::string origin;
    pooling::operation_id operation{0};
    pooling::forwarded_work work;
};

/// Tells that an operation has ended at its origin.
struct end_message
{
    std::string origin;
    pooling::operation_id operation{0};
};

/// The bytes of a message, and back; empty optional with a reason when they
/// are malformed.
std::string encode(const statement_message& one);
std::optional<statement_message> decode_statement(std::string_view bytes);

std::string encode(const end_message& one);
std::optional<end_message> decode_end(std::string_view bytes);

std::string encode(const pooling::forwarded_reply& one);
std::optional<pooling::forwarded_reply> decode_reply(std::string_view bytes);

} // namespace plantainward::relay
