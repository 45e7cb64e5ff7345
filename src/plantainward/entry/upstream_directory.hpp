#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/routes/routing.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainward::entry
{

/// The registered databases, and those whose registration has just ended.
///
/// A registration may lapse during an outage of the table service and return
/// soon after it. A database whose registration does not return counts as
/// leaving, and is dropped after some time.
class upstream_directory
{
public:
    /// Adds or replaces a registration. A database that has announced that it
    /// leaves stays leaving until it restarts, also when an older registration
    /// of it comes back.
    void put(const routes::upstream& upstream);

    /// Marks a registration as ended.
    void remove(const std::string& id, core::boot_instant now);

    /// Replaces the whole list; registrations that are missing have ended.
    void replace(const std::vector<routes::upstream>& upstreams,
                 core::boot_instant now);

    /// The databases that may still be used, including those whose registration
    /// has ended lately; the latter count as leaving once they have not
    /// returned in time.
    std::vector<routes::upstream> usable(core::boot_instant now);

    /// Ids of the databases whose registration has ended and has not returned
    /// in time.
    std::set<std::string> gone(core::boot_instant now) const;

    /// The databases whose registration has not ended.
    std::vector<routes::upstream> registered() const;

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry
    {
        routes::upstream upstream;
        bool removed{false};
        core::boot_instant removed_at{};
    };

    std::map<std::string, entry> m_entries;
};

} // namespace plantainward::entry
