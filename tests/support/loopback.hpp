#pragma once

#include <string>

#include <unistd.h>

namespace support
{

/// The loopback address of this process. Test programs that run side by side
/// get different addresses, so they can use the same ports.
inline const std::string& loopback_ip()
{
    static const std::string ip = [] {
        const auto pid = static_cast<unsigned>(::getpid());
        return "127." + std::to_string(1 + (pid >> 16) % 250) + "." +
               std::to_string((pid >> 8) % 256) + "." +
               std::to_string(pid % 256);
    }();
    return ip;
}

} // namespace support
