#include <plantainward/intent/revision_store.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/core/last_error.hpp>

#include <utility>

namespace plantainward::intent
{

bool revision_store::accept(std::uint64_t revision, const std::string& digest,
                            const std::string& body, const std::string& author)
{
    using core::error_kind;
    const auto name = "revision " + std::to_string(revision);
    if (revision <= this->revision())
    {
        core::fail(error_kind::revision_conflict,
                   name + " is not newer than the one in force");
        return false;
    }
    if (core::sha256_hex(body) != digest)
    {
        core::fail(error_kind::bad_intent,
                   "the body of " + name + " does not match its digest");
        return false;
    }
    const auto files = decode_bundle(body);
    if (!files)
        return false;
    std::vector<issue> issues;
    auto intent = check(*files, issues);
    if (!intent)
    {
        core::fail(error_kind::bad_intent,
                   name + ": " + to_string(issues.front()));
        return false;
    }
    m_current =
        accepted_revision{revision, digest, body, author, std::move(*intent)};
    return true;
}

} // namespace plantainward::intent
