#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/routes/routing.hpp>

#include <map>
#include <string>
#include <vector>

namespace plantainward::entry
{

/// The registered databases, and those whose registration has just ended.
///
/// A registration may lapse while the table service is away and come back
/// soon after it; one that stays away counts as a database that leaves.
class upstream_directory
{
public:
    /// Takes one registration.
    void put(const routes::upstream& one);

    /// A registration has ended.
    void remove(const std::string& id, core::boot_instant now);

    /// Takes the whole list; what is missing has ended.
    void replace(const std::vector<routes::upstream>& all,
                 core::boot_instant now);

    /// The databases that may still be used or replaced, with those that are
    /// gone shown as leaving.
    std::vector<routes::upstream> usable(core::boot_instant now);

    /// The databases whose registration has not ended.
    std::vector<routes::upstream> registered() const;

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry
    {
        routes::upstream what;
        bool removed{false};
        core::boot_instant removed_at{};
    };

    std::map<std::string, entry> m_entries;
};

} // namespace plantainward::entry
