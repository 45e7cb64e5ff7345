// What the pooler looks after from time to time: silence, lost answers, probes.

#include <plantainward/pooling/commands.hpp>
#include <plantainward/pooling/pooler.hpp>

namespace plantainward::pooling
{

namespace
{

// Time for the answer to a command that occupies no slot at a database.
constexpr core::millis own_answer_patience{1000};

} // namespace

void pooler::send_again()
{
    for (auto& [id, who] : m_sessions)
    {
        if (!who.current || !who.current->again_at ||
            m_now < *who.current->again_at)
            continue;
        who.current->again_at.reset();
        if (auto* one = find(who.current->connection))
            send_main(*one, who);
    }
}

// A connection that owes the answer to a question of the proxy's own is silent
// for good when other connections to the database go on.
void pooler::drop_silent()
{
    std::vector<connection_id> silent;
    for (auto& [name, service] : m_services)
        for (auto& [id, pool] : service.upstreams)
            for (const auto& [number, one] : pool.connections())
            {
                const bool is_own = one.stage == connection_stage::probing ||
                                    one.stage == connection_stage::rolling_back;
                if (is_own && m_now - one.sent_at > own_answer_patience)
                    silent.push_back(number);
            }
    for (const auto id : silent)
    {
        pool_of(id)->failed(m_now);
        drop(id);
    }
}

// Closes idle connections above the share, which may have shrunk.
void pooler::drop_surplus()
{
    std::vector<connection_id> surplus;
    for (auto& [name, service] : m_services)
        for (auto& [id, pool] : service.upstreams)
        {
            auto held = pool.connections().size();
            for (const auto& [number, one] : pool.connections())
            {
                if (held <= pool.share())
                    break;
                if (one.stage != connection_stage::idle)
                    continue;
                surplus.push_back(number);
                --held;
            }
        }
    for (const auto id : surplus)
        drop(id);
}

// Reads and open transactions don't wait for an answer that is lost: a read
// runs elsewhere, the caller of a transaction can begin again in time. What may
// have been committed is waited for.
void pooler::leave_lost_answers()
{
    std::vector<connection_id> lost;
    for (auto& [name, service] : m_services)
        for (auto& [id, pool] : service.upstreams)
        {
            const bool is_silent = pool.is_suspected(m_now);
            for (const auto number : pool.without_answer(m_now))
            {
                const auto& one = *pool.find(number);
                const auto user = m_sessions.find(one.user);
                const bool works = user != m_sessions.end() &&
                                   user->second.current &&
                                   user->second.current->connection == number;
                const bool may_have_committed =
                    one.stage == connection_stage::running && works &&
                    user->second.current->is_final;
                if (!works || may_have_committed)
                    continue;
                lost.push_back(number);
                if (is_silent)
                    pool.left_silent();
            }
        }
    for (const auto id : lost)
        drop(id);
    if (!lost.empty())
        serve_queue();
}

void pooler::probe_silent()
{
    for (auto& [name, service] : m_services)
    {
        for (auto& [id, pool] : service.upstreams)
        {
            if (!pool.wants_probe(m_now))
                continue;
            auto* one = pool.idle_connection({});
            if (one == nullptr)
            {
                if (pool.may_open(m_now))
                    open(name, pool);
                continue;
            }
            one->stage = connection_stage::probing;
            one->values.clear();
            one->prepared.clear();
            one->unanswered = 1;
            one->sent_at = m_now;
            m_out.emplace_back(
                send_action{one->id, {own_command(sql::command_kind::reset)}});
        }
    }
}

} // namespace plantainward::pooling
