#pragma once

#include "async.hpp"
#include "fleet.hpp"
#include "recorder.hpp"
#include "routing.hpp"
#include "store.hpp"
#include "upstreams.hpp"

#include <set>
#include <string>
#include <vector>

namespace soak
{

/// Faults from outside, drawn from the seed; they may overlap.
class fault_plan
{
public:
    fault_plan(asio::io_context& io, recorder& record, fleet& hosts,
               database_world& databases, upstreams& services, store& rows,
               routing& routes, std::uint64_t seed);

    /// Names of all faults.
    static std::vector<std::string> names();

    /// Starts the named faults; they end by themselves.
    void start(const std::set<std::string>& chosen, std::chrono::seconds time);

private:
    using action = task (fault_plan::*)();

    struct kind
    {
        const char* name;
        action act;
        /// Mean time between two of this kind.
        std::chrono::milliseconds interval;
    };
    static const std::vector<kind>& kinds();

    task repeat(kind repeated);
    std::size_t any_host();
    std::chrono::microseconds some_time(std::int64_t from_ms,
                                        std::int64_t to_ms)
    {
        return m_dice.between(from_ms, to_ms);
    }

    task freeze();
    task roll();
    task kill();
    task reload();
    task add_host();
    task replace_host();
    task kill_all();
    task crash();
    task lose_primary();
    task crash_empty();
    task leave();
    task swap();
    task refuse();
    task lose_answers();
    task break_answers();
    task mute();
    task mute_store();
    task reset();
    task lag();
    task disrupt_store();
    task forget_history();
    task change_routes();
    task storm();

    asio::io_context& m_io;
    recorder& m_record;
    fleet& m_hosts;
    database_world& m_databases;
    upstreams& m_services;
    store& m_store;
    routing& m_routes;
    dice m_dice;
    instant m_end{0};
};

} // namespace soak
