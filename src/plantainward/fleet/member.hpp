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

    bool operator==(const member&) const = default; // NOLINT

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(address, failure_domain, millicores);
    }
};

/// All registered hosts by name.
using members = std::map<std::string, member>;

} // namespace plantainward::fleet
