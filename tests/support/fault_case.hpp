#pragma once

#include <support/simulation.hpp>

#include <functional>

namespace support
{

/// One row of a fault table.
struct fault_case
{
    const char* name;
    /// Injects the fault; gets the index of the primary of slot 0.
    std::function<void(simulation&, int primary)> inject;
};

/// A simulation that has run until its groups have primaries and can confirm
/// writes.
inline simulation ready_simulation(const simulation_options& options = {})
{
    simulation ready(options);
    ready.run_for(core::millis(1500));
    return ready;
}

inline coordinator::caller_request
put(const std::string& key, const std::string& value, const std::string& id)
{
    auto request = make_request({{upstream::verb::put, key, value, 0}});
    request.id = id;
    return request;
}

inline coordinator::caller_request add(const std::string& key,
                                       const std::string& id)
{
    auto request = make_request({{upstream::verb::add, key, "", 1}});
    request.id = id;
    return request;
}

inline coordinator::caller_request
get(const std::string& key,
    coordinator::freshness required_freshness = coordinator::freshness::latest)
{
    return make_request({{upstream::verb::get, key, "", 0}},
                        required_freshness);
}

/// The value of the first row of the first result; empty when there is none.
inline std::string value_of(const coordinator::caller_reply& reply)
{
    if (reply.results.empty() || reply.results[0].rows.empty())
        return {};
    return reply.results[0].rows[0].value;
}

/// Whether the reply guarantees that nothing of the request ran.
inline bool is_not_run(const coordinator::caller_reply& reply)
{
    return reply.error &&
           core::answer_for(*reply.error).ran == core::effect::not_run;
}

} // namespace support
