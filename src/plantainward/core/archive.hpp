#pragma once

#include <plantainward/core/last_error.hpp>

#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include <cereal/archives/portable_binary.hpp>

namespace plantainward::core
{

/// Serializes a value as a portable binary archive of cereal.
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

/// Deserializes a value that `to_bytes` wrote; empty optional with an error
/// that contains `type_name` when malformed.
template <class T>
std::optional<T> from_bytes(std::string_view bytes, const char* type_name)
{
    try
    {
        std::istringstream in{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(in);
        T value;
        archive(value);
        return value;
    }
    catch (const std::exception& error)
    {
        return core::fail(core::error_kind::bad_request, std::string("not a ") +
                                                             type_name + ": " +
                                                             error.what());
    }
}

} // namespace plantainward::core
