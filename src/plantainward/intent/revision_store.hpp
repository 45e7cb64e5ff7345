#pragma once

#include <plantainward/intent/routing_intent.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace plantainward::intent
{

/// A revision that has been checked and can be in force.
struct accepted_revision
{
    std::uint64_t revision{0};
    std::string digest;
    std::string body;
    std::string author;
    routing_intent intent;
};

/// Holds the newest revision that this proxy has seen; never an older one.
class revision_store
{
public:
    /// Takes a revision from the platform or from a peer.
    ///
    /// True when it is now in force. False with a reason when it is not newer,
    /// its body does not match its digest, or its intent is faulty.
    bool accept(std::uint64_t revision, const std::string& digest,
                const std::string& body, const std::string& author);

    /// The revision in force, 0 for none.
    std::uint64_t revision() const
    {
        return m_current ? m_current->revision : 0;
    }

    const std::optional<accepted_revision>& current() const
    {
        return m_current;
    }

private:
    std::optional<accepted_revision> m_current;
};

} // namespace plantainward::intent
