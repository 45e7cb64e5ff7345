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

/// The value in its cereal form; empty optional with a reason that names what
/// was expected when malformed.
template <class T>
std::optional<T> from_bytes(std::string_view bytes, const char* what)
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
        return core::fail(core::error_kind::bad_request,
                          std::string("not a ") + what + ": " + error.what());
    }
}

} // namespace plantainward::core
