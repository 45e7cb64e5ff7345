#pragma once

#include <plantainward/coordinator/request.hpp>
#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/peer/peer_client.hpp>

#include <optional>
#include <string>
#include <vector>

namespace plantainward::daemon
{

/// The next step of a gateway with a request: sends it to a host or replies.
struct forward_step
{
    /// Host to send the request to; empty to send `reply` to the caller.
    std::optional<core::host> next_host;
    coordinator::caller_reply reply;
};

/// Chooses the host that a gateway sends a request to, and the reply to the
/// caller when a call fails.
///
/// A request that may have reached a coordinator is sent again only when
/// running it twice is harmless: a read, a begin, or a write with an id.
class forwarding
{
public:
    /// `ranked` holds the hosts of the service in the order in which they
    /// coordinate it. `owner` is the coordinator of the request's transaction;
    /// empty when there is no transaction or that host is not live.
    forwarding(const coordinator::caller_request& request,
               std::vector<core::host> ranked, std::optional<core::host> owner,
               core::instant deadline);

    /// Returns the first step.
    forward_step start(core::instant now);

    /// Returns the step after a call has ended; `reply` counts only when the
    /// coordinator answered.
    forward_step next(peer::call_outcome outcome,
                      coordinator::caller_reply reply, core::instant now);

private:
    static constexpr std::size_t max_attempts = 12;

    forward_step try_next_host(core::instant now, std::string reason);
    forward_step fail_request(core::error_kind kind, std::string reason) const;
    forward_step after_owner_failure(peer::call_outcome outcome,
                                     core::instant now);

    coordinator::request_kind m_kind;
    bool m_has_id;
    bool m_is_read;
    std::vector<core::host> m_ranked;
    std::optional<core::host> m_owner;
    core::instant m_deadline;
    std::size_t m_attempts{0};
    bool m_sent_to_owner{false};
    /// A call was lost, so a copy of the request may have taken effect.
    bool m_maybe_ran{false};
};

} // namespace plantainward::daemon
