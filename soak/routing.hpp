#pragma once

#include "recorder.hpp"
#include "store.hpp"

#include <map>
#include <string>
#include <vector>

namespace soak
{

/// The operator: writes each configuration in full.
class routing
{
public:
    routing(recorder& record, store& rows, std::uint64_t seed,
            std::vector<std::string> services);

    /// Writes the next version.
    void publish();
    void add_route();
    void remove_route();
    /// Moves one route to another service.
    void move_route();
    void change_timeout();

    /// A name for a session: mostly one that stays, sometimes one that moves,
    /// that is new, that was removed or that never was there.
    std::string choose_name(dice& choices) const;
    const route* find(const std::string& name) const;

private:
    std::string text() const;
    std::string new_name();

    recorder& m_record;
    store& m_store;
    dice m_dice;
    std::vector<std::string> m_services;
    std::uint64_t m_version{0};
    std::map<std::string, route> m_routes;
    std::vector<std::string> m_steady_names;
    std::vector<std::string> m_moving_names;
    std::vector<std::string> m_added_names;
    std::vector<std::string> m_removed_names;
};

} // namespace soak
