#pragma once

#include <plantainward/core/boot_clock.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace plantainward::pooling
{

/// The slot time that workspaces use at the databases of one service, recently
/// and usually, so that a workspace which asks for more than usual bears the
/// queue that it causes.
class workspace_shares
{
public:
    /// A statement of a workspace (empty: none) ran for `ms` milliseconds.
    void record_use(const std::string& workspace, double ms,
                    core::boot_instant now);

    /// How far a workspace is above its usual part of the slot time: 0 up to
    /// 1.5 times, else the number of times, at most 8.
    std::size_t excess(const std::string& workspace,
                       core::boot_instant now) const;

private:
    /// Slot time that decays exponentially.
    struct usage
    {
        double recent_ms{0};
        double usual_ms{0};
        core::boot_instant updated_at{};
    };

    static usage decayed(const usage& since, core::boot_instant now);

    std::map<std::string, usage> m_usages;
    usage m_total;
};

} // namespace plantainward::pooling
