#pragma once

#include <cstdint>
#include <functional>

namespace plantainward::platform
{

/// How a call to a service of the platform ended.
enum class platform_outcome : std::uint8_t
{
    ok,
    /// The row or object does not exist.
    not_found,
    /// The row had another version than expected; nothing was written.
    conflict,
    /// The call was not sent.
    down,
    /// The call may have taken effect: its answer was lost or malformed.
    unknown
};

/// The result of a call; the value is set when the outcome is `ok`.
template <class T>
struct reply
{
    platform_outcome outcome{platform_outcome::down};
    T value{};
};

/// Receives the result of a call, exactly once.
template <class T>
using reply_handler = std::function<void(reply<T>)>;

} // namespace plantainward::platform
