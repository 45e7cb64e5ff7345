#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/upstream/gate.hpp>
#include <plantainward/upstream/log_point.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantainward::coordinator
{

/// An interactive transaction that is open at a database.
struct open_transaction
{
    int slot{0};
    std::size_t database{0};
    upstream::connection_number connection{0};
    upstream::term_number term{0};
    std::string tenant;
    core::instant last_used;
    /// A statement of it is running.
    bool busy{false};
    /// Digest over the statements so far.
    std::string digest;
};

/// What a transaction handle tells without its coordinator.
struct handle_parts
{
    /// The proxy that coordinates the transaction, and its incarnation.
    std::string instance;
    std::string service;
    int slot{0};
};

/// The parts of a handle; empty optional when it is malformed.
std::optional<handle_parts> parse_handle(std::string_view handle);

/// The open interactive transactions of a coordinator, by their handles.
class transaction_table
{
public:
    /// Handles name the instance and the service; the secret makes them
    /// unguessable.
    transaction_table(std::string instance, std::string service,
                      std::string secret)
        : m_instance(std::move(instance)), m_service(std::move(service)),
          m_secret(std::move(secret))
    {
    }

    /// Adds a transaction and returns its handle.
    std::string add(open_transaction transaction);

    /// The transaction with this handle, or null.
    open_transaction* find(const std::string& handle);

    /// Removes a transaction.
    void remove(const std::string& handle) { m_open.erase(handle); }

    /// Handles of the transactions that satisfy a predicate.
    template <class Predicate>
    std::vector<std::string> handles_of(Predicate matches) const
    {
        std::vector<std::string> found;
        for (const auto& [handle, one] : m_open)
        {
            if (!matches(one))
                continue;
            found.push_back(handle);
        }
        return found;
    }

    std::size_t size() const { return m_open.size(); }

private:
    std::string m_instance;
    std::string m_service;
    std::string m_secret;
    std::uint64_t m_last_number{0};
    std::unordered_map<std::string, open_transaction> m_open;
};

} // namespace plantainward::coordinator
