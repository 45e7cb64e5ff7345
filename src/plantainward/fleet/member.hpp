#pragma once

#include <plantainward/core/host.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace plantainward::fleet
{

/// A registered host.
struct member
{
    core::address address;
    std::string failure_domain;
    /// CPU time that it may use, in thousandths of a core.
    std::uint32_t millicores{100};
    /// Rate of its link, in Mbit/s; 0 when it is not stated.
    std::uint32_t link_mbps{0};

    bool operator==(const member&) const = default; // NOLINT

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(address, failure_domain, millicores, link_mbps);
    }
};

/// All registered hosts by name.
using members = std::map<std::string, member>;

} // namespace plantainward::fleet
