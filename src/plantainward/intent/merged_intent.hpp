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

/// The value as reports show it, with strings in quotes.
std::string to_string(const intent_value& value);

/// A value with the file and line that set it.
struct assigned_value
{
    intent_value value;
    std::string file;
    std::uint32_t line{0};
};

/// An error in an intent folder; line 0 or an empty key if not known.
struct issue
{
    std::string file;
    std::uint32_t line{0};
    std::string key;
    std::string text;
};

/// "file:line: key: text".
std::string to_string(const issue& problem);

/// Path of a key, such as service, orders, slots.
using key_path = std::vector<std::string>;

/// The path joined by dots.
std::string to_string(const key_path& path);

/// All values of a bundle, with the errors of its files; a value of a later
/// file replaces that of an earlier one.
struct merged_intent
{
    std::map<key_path, assigned_value> values;
    std::vector<issue> issues;
};

/// Parses the files and merges them in their order.
merged_intent merge(const bundle& files);

/// The change of one key from one intent to another, values as text.
struct difference
{
    key_path key;
    /// Empty when the key was added.
    std::string before;
    /// Empty when the key was removed.
    std::string after;
};

/// The keys that were changed, removed or added.
std::vector<difference> diff(const merged_intent& before,
                             const merged_intent& after);

} // namespace plantainward::intent
