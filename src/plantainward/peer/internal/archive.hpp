#pragma once

#include <plantainward/core/last_reason.hpp>

#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>

namespace plantainward::peer::internal
{

/// The cereal form of a value.
template <class T>
std::string to_bytes(const T& value)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(value);
    }
    return out.str();
}

/// The value in its cereal form; empty optional when malformed.
template <class T>
std::optional<T> from_bytes(std::string_view bytes)
{
    try
    {
        std::istringstream in{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(in);
        T value;
        archive(value);
        return value;
    }
    catch (const std::exception&)
    {
        return core::fail(core::error_kind::bad_request,
                          "malformed message of a peer");
    }
}

} // namespace plantainward::peer::internal
