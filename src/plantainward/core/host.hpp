#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace plantainward::core
{

/// An IP address and a port.
struct address
{
    std::string ip;
    std::uint16_t port{0};

    // clang-tidy 14 reports a defaulted comparison by mistake.
    auto operator<=>(const address&) const = default; // NOLINT

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ip, port);
    }
};

/// "ip:port".
inline std::string to_string(const address& endpoint)
{
    return endpoint.ip + ":" + std::to_string(endpoint.port);
}

/// A host that runs a proxy, with the addresses at which it listens.
struct host
{
    std::string name;
    std::string failure_domain;
    /// Address of the caller interface.
    address caller;
    /// Address of the peer interface, for TCP and UDP.
    address peer;

    auto operator<=>(const host&) const = default; // NOLINT

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, failure_domain, caller, peer);
    }
};

} // namespace plantainward::core
