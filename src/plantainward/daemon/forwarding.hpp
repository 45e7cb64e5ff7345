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

/// What a gateway does next with a request: sends it on, or answers it.
struct forward_step
{
    std::optional<core::host> to;
    coordinator::caller_reply reply;
};

/// Decides where a gateway sends a request and what a failure means.
///
/// A request that may have reached a coordinator is sent again only when
/// running it twice is harmless: a read, or a write with an id.
class forwarding
{
public:
    /// `owner` is the coordinator of the request's transaction, when the
    /// request has one and the owner lives.
    forwarding(const coordinator::caller_request& request,
               std::vector<core::host> ranked, std::optional<core::host> owner,
               core::instant deadline);

    /// The first step.
    forward_step start(core::instant now);

    /// The step after a coordinator's answer or the loss of the call.
    forward_step next(peer::call_outcome end, coordinator::caller_reply reply,
                      core::instant now);

private:
    static constexpr std::size_t max_attempts = 12;

    forward_step try_next(core::instant now, std::string reason);
    forward_step give_up(core::error_kind kind, std::string reason) const;
    forward_step after_owner(peer::call_outcome end, core::instant now);

    coordinator::request_kind m_kind;
    bool m_has_id;
    bool m_is_read;
    std::vector<core::host> m_ranked;
    std::optional<core::host> m_owner;
    core::instant m_deadline;
    std::size_t m_attempts{0};
    bool m_at_owner{false};
    bool m_maybe_ran{false};
};

} // namespace plantainward::daemon
