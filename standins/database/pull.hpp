#pragma once

#include <database/log_entry.hpp>

#include <optional>
#include <string>
#include <string_view>

/// JSON form of the replication messages between databases. The decoders return
/// an empty optional for malformed text.
namespace standin
{

/// A pull with the lag that the replica simulates, in milliseconds.
struct pull_request
{
    pull_order order;
    int lag_ms{0};
};

std::string encode(const pull_request& request);
std::optional<pull_request> decode_pull_request(std::string_view text);

std::string encode(const pull_reply& reply);
std::optional<pull_reply> decode_pull_reply(std::string_view text);

} // namespace standin
