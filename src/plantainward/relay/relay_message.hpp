#pragma once

#include <plantainward/pooling/forwarded_work.hpp>

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

// An encoded message starts with its digest. Decoders give an empty optional
// with a reason when the bytes are damaged.

std::string encode(const statement_message& message);
std::optional<statement_message> decode_statement(std::string_view bytes);

std::string encode(const end_message& message);
std::optional<end_message> decode_end(std::string_view bytes);

std::string encode(const pooling::forwarded_reply& reply);
std::optional<pooling::forwarded_reply> decode_reply(std::string_view bytes);

} // namespace plantainward::relay
