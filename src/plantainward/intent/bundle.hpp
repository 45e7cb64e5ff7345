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

/// The files of an intent folder, sorted by name.
using bundle = std::vector<intent_file>;

/// Reads the `.toml` files of a folder; empty optional with an error when one
/// cannot be read or the folder has none.
std::optional<bundle> read_folder(const std::string& folder);

/// The body that the object store keeps for a bundle.
std::string encode(const bundle& files);

/// The bundle in a stored body; empty optional with an error when malformed.
std::optional<bundle> decode_bundle(std::string_view body);

} // namespace plantainward::intent
