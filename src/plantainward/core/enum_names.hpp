#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace plantainward::core
{

/// Names for the values of an enumeration, which must count up from zero.
template <class Enum, std::size_t Count>
class enum_names
{
public:
    constexpr explicit enum_names(std::array<std::string_view, Count> names)
        : m_names(names)
    {
    }

    /// The name of a value; throws when the value has none.
    constexpr std::string_view operator[](Enum value) const
    {
        return m_names.at(static_cast<std::size_t>(value));
    }

    /// The value with this name; empty optional when there is none.
    constexpr std::optional<Enum> find(std::string_view name) const
    {
        for (std::size_t i = 0; i < Count; ++i)
            if (m_names[i] == name)
                return static_cast<Enum>(i);
        return std::nullopt;
    }

private:
    std::array<std::string_view, Count> m_names;
};

} // namespace plantainward::core
