#pragma once

#include <plantainward/intent/merged_intent.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainward::intent
{

/// Type of a key's value.
enum class value_type : std::uint8_t
{
    text,
    whole_number,
    truth,
    ip_and_port,
    acknowledgement
};

/// A key that an intent may set; `*` in its pattern stands for a name.
struct key_rule
{
    std::string_view pattern;
    value_type type;
    std::int64_t least;
    std::int64_t most;
    std::string_view meaning;
};

/// The rule for a path, or null.
const key_rule* rule_for(const key_path& path);

/// The known key that looks most like an unknown one, if any does.
std::optional<std::string> nearest_key(const key_path& path);

/// What is wrong with a value under a rule, if anything is.
std::optional<std::string> fault_of(const key_rule& rule,
                                    const intent_value& one);

} // namespace plantainward::intent
