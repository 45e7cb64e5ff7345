#pragma once

#include <plantainward/intent/routing_intent.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace plantainward::intent
{

/// A revision whose body and intent have been checked.
struct accepted_revision
{
    std::uint64_t revision{0};
    std::string digest;
    std::string body;
    std::string author;
    routing_intent intent;
};

/// Stores the newest valid revision; its number never decreases.
class revision_store
{
public:
    /// Checks a revision from the platform or a peer and puts it in force.
    ///
    /// False with an error when it is not newer than the one in force, its
    /// body does not match its digest, or its intent has issues.
    bool accept(std::uint64_t revision, const std::string& digest,
                const std::string& body, const std::string& author);

    /// Number of the revision in force, 0 for none.
    std::uint64_t revision() const
    {
        return m_current ? m_current->revision : 0;
    }

    /// The revision in force with its content, empty for none.
    const std::optional<accepted_revision>& current() const
    {
        return m_current;
    }

private:
    std::optional<accepted_revision> m_current;
};

} // namespace plantainward::intent
