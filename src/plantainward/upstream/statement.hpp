#pragma once

#include <plantainward/core/enum_names.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace plantainward::upstream
{

/// The operations of statements on the data of a slot.
enum class verb : std::uint8_t
{
    get,
    list,
    put,
    put_if_absent,
    add,
    remove
};

/// Names of the verbs on the wire.
inline constexpr core::enum_names<verb, 6> verb_names{
    {"get", "list", "put", "put_if_absent", "add", "remove"}};

/// Whether a verb changes no data.
constexpr bool is_read(verb operation)
{
    return operation == verb::get || operation == verb::list;
}

/// One statement on a key, or on a prefix for `list`.
struct statement
{
    verb operation{verb::get};
    std::string key;
    /// New value of `put` and `put_if_absent`.
    std::string value;
    /// Summand of `add`.
    std::int64_t amount{0};

    bool operator==(const statement&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(operation, key, value, amount);
    }
};

/// A key with its value.
struct row
{
    std::string key;
    std::string value;

    bool operator==(const row&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(key, value);
    }
};

/// The result of one statement.
struct statement_result
{
    /// All rows of `list`; one row of `get` and `add`, none when the key is
    /// absent.
    std::vector<row> rows;

    bool operator==(const statement_result&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(rows);
    }
};

} // namespace plantainward::upstream
