#pragma once

#include <support/simulation.hpp>

#include <functional>

namespace support
{

/// One row of a fault table.
struct fault_case
{
    const char* name;
    /// Brings the fault about; gets the primary of slot 0.
    std::function<void(simulation&, int primary)> strike;
};

/// A world whose groups have primaries and which can confirm writes.
inline simulation ready_simulation(const simulation_options& options = {})
{
    simulation made(options);
    made.run_for(core::millis(1500));
    return made;
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
    coordinator::freshness need = coordinator::freshness::latest)
{
    return make_request({{upstream::verb::get, key, "", 0}}, need);
}

/// The value of the first row, or empty.
inline std::string value_of(const coordinator::caller_reply& reply)
{
    if (reply.results.empty() || reply.results[0].rows.empty())
        return {};
    return reply.results[0].rows[0].value;
}

/// Whether the reply promises that nothing ran.
inline bool is_not_run(const coordinator::caller_reply& reply)
{
    return reply.error &&
           core::answer_for(*reply.error).ran == core::effect::not_run;
}

} // namespace support
