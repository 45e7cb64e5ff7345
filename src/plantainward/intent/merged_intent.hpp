#pragma once

#include <plantainward/intent/bundle.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace plantainward::intent
{

/// A value in an intent file.
using intent_value = std::variant<std::string, std::int64_t, bool>;

/// The text of a value as a report shows it.
std::string to_string(const intent_value& one);

/// A value with the place that set it.
struct assigned_value
{
    intent_value value;
    std::string file;
    std::uint32_t line{0};
};

/// A fault in an intent folder.
struct issue
{
    std::string file;
    std::uint32_t line{0};
    std::string key;
    std::string text;
};

/// "file:line: key: text".
std::string to_string(const issue& one);

/// Path of a key, such as service, name, slots.
using key_path = std::vector<std::string>;

/// The path joined by dots.
std::string to_string(const key_path& path);

/// All values of a bundle; a later file overrides an earlier one.
struct merged_intent
{
    std::map<key_path, assigned_value> values;
    std::vector<issue> issues;
};

/// Parses and merges the files in their order.
merged_intent merge(const bundle& files);

/// One difference between two merged intents.
struct difference
{
    key_path key;
    /// Empty when the key is new.
    std::string before;
    /// Empty when the key is removed.
    std::string after;
};

/// The keys whose values differ.
std::vector<difference> diff(const merged_intent& before,
                             const merged_intent& after);

} // namespace plantainward::intent
