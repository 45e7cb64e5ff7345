#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainward::intent
{

/// One file of an intent folder.
struct intent_file
{
    std::string name;
    std::string text;

    bool operator==(const intent_file&) const = default;
};

/// The files of an intent folder in the order of their names.
using bundle = std::vector<intent_file>;

/// Reads the `.toml` files of a folder.
std::optional<bundle> read_folder(const std::string& folder);

/// The body under which a bundle is stored.
std::string encode(const bundle& files);

/// The bundle in a stored body; empty optional with a reason when malformed.
std::optional<bundle> decode_bundle(std::string_view body);

} // namespace plantainward::intent
