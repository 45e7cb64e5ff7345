#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace plantainward::core
{

/// An IP number and a port.
struct address
{
    std::string ip;
    std::uint16_t port{0};

    // clang-tidy 14 misreads a defaulted comparison.
    auto operator<=>(const address&) const = default; // NOLINT

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ip, port);
    }
};

/// "ip:port".
inline std::string to_string(const address& where)
{
    return where.ip + ":" + std::to_string(where.port);
}

/// A host that runs a proxy, as its peers know it.
struct host
{
    std::string name;
    std::string failure_domain;
    /// Address of the caller interface.
    address caller;
    /// Address of the peer interface, TCP and UDP.
    address peer;

    auto operator<=>(const host&) const = default; // NOLINT

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, failure_domain, caller, peer);
    }
};

} // namespace plantainward::core
