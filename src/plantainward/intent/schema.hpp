#pragma once

#include <plantainward/intent/merged_intent.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainward::intent
{

/// Type of the value of a key.
enum class value_type : std::uint8_t
{
    text,
    whole_number,
    boolean,
    ip_and_port,
    acknowledgement
};

/// A key that an intent may set; a `*` in its pattern matches any name.
///
/// The bounds apply to whole numbers and include both ends.
struct key_rule
{
    std::string_view pattern;
    value_type type;
    std::int64_t min_value;
    std::int64_t max_value;
    std::string_view meaning;
};

/// The rule whose pattern matches a path, or null.
const key_rule* rule_for(const key_path& path);

/// The known key with the smallest edit distance to an unknown one; empty when
/// none is close enough to be suggested.
std::optional<std::string> nearest_key(const key_path& path);

/// The requirement of a rule that a value violates; empty when it is valid.
std::optional<std::string> fault_of(const key_rule& rule,
                                    const intent_value& value);

} // namespace plantainward::intent
