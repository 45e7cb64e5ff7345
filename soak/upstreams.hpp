#pragma once

#include "database.hpp"
#include "fleet.hpp"
#include "store.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace soak
{

/// The databases of all services: their entries in the store, promotions, and
/// what happens to them.
class upstreams
{
public:
    upstreams(database_world& world, store& rows, address_block addresses,
              std::uint64_t seed);

    /// Adds a service of three databases; false if an address is in use.
    bool add_service(const std::string& service);
    std::vector<std::string> services() const;
    /// `POST /promotion`; returns its status.
    int promote(const std::string& service, const std::string& id);

    std::vector<std::shared_ptr<database>> running() const;
    database_group& group(const std::string& service)
    {
        return *m_groups.at(service);
    }

    /// Ends a database without a word and starts it again, with its log or
    /// with nothing.
    task crash(std::shared_ptr<database> target, std::chrono::microseconds time,
               bool keeps_log);
    /// Planned leaving: a database with the log comes at the address.
    task leave(std::shared_ptr<database> target);
    /// Replicas of two services leave; new ones come at the other's address.
    task swap(std::shared_ptr<database> first,
              std::shared_ptr<database> second);
    /// Sets `is_kept` of the commits that the services hold at the end.
    void mark_kept();

private:
    struct entry
    {
        std::string service;
        std::string state{"ready"};
        std::int64_t born{0};
        std::uint64_t sequence{0};
        /// Between the announcement of leaving and the end.
        bool is_leaving{false};
    };

    std::shared_ptr<database> create(const std::string& service,
                                     const tcp::endpoint& address,
                                     const std::string& zone);
    bool start(const std::shared_ptr<database>& target);
    void announce(const database& target);
    task retire(std::shared_ptr<database> target);

    database_world& m_world;
    store& m_store;
    address_block m_addresses;
    dice m_dice;
    std::map<std::string, std::unique_ptr<database_group>> m_groups;
    std::map<std::string, entry> m_entries;
    std::size_t m_slots{0};
};

} // namespace soak
