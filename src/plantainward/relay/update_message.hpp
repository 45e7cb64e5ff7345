#pragma once

#include <plantainward/fleet/table_update.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace plantainward::relay
{

// A host fetches tables from another one with these messages. An encoded
// message starts with its digest. Decoders give an empty optional with a reason
// when the bytes are damaged.

/// The request: versions of the tables that the sender has.
std::string encode(const fleet::table_versions& versions);
std::optional<fleet::table_versions> decode_versions(std::string_view bytes);

/// The answer: tables that are newer than the versions of the request.
std::string encode(const fleet::table_update& update);
std::optional<fleet::table_update> decode_update(std::string_view bytes);

} // namespace plantainward::relay
