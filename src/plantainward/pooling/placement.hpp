#pragma once

#include <plantainward/pooling/service_view.hpp>
#include <plantainward/pooling/session.hpp>

#include <optional>
#include <string>

namespace plantainward::pooling
{

/// Chooses the database for a statement that is not pinned.
///
/// `latest` reads and all that writes need the primary under a valid lease.
/// Other reads go to the replica that is expected to answer first among those
/// that have the log point which proves their age; the primary serves them
/// when no replica can. Empty when nothing can run the statement now.
std::optional<placement> place(const service_view& service, const work& what,
                               const session& who,
                               const std::string& own_domain,
                               core::boot_instant now);

} // namespace plantainward::pooling
