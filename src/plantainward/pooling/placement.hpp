#pragma once

#include <plantainward/pooling/service_view.hpp>
#include <plantainward/pooling/session.hpp>

#include <optional>
#include <string>

namespace plantainward::pooling
{

/// Chooses the database for a statement that is not bound to the connection of
/// an open transaction.
///
/// Writes, reads of `latest` routes and transactions that can write need the
/// primary and run there while its lease is valid. Other reads go to the
/// database that is expected to answer first; replicas are considered when a
/// watermark proves the freshness that the route requires. Empty when no
/// database can run the statement now.
std::optional<placement> place(const service_view& service, const work& work,
                               const session& session,
                               const std::string& own_domain,
                               core::boot_instant now);

} // namespace plantainward::pooling
