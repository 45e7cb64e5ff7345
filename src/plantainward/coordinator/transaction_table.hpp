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
    /// A statement of this transaction is running.
    bool busy{false};
    /// Digest of all its statements until now.
    std::string digest;
};

/// The parts of a transaction handle that any host can read.
struct handle_parts
{
    /// Name and incarnation of the proxy that coordinates the transaction.
    std::string instance;
    std::string service;
    int slot{0};
};

/// Parses a transaction handle; empty when it is malformed.
std::optional<handle_parts> parse_handle(std::string_view handle);

/// The open interactive transactions of a coordinator, indexed by handle.
class transaction_table
{
public:
    /// Handles contain the instance and the service; an HMAC with the secret
    /// prevents callers from guessing the handles of others.
    transaction_table(std::string instance, std::string service,
                      std::string secret)
        : m_instance(std::move(instance)), m_service(std::move(service)),
          m_secret(std::move(secret))
    {
    }

    /// Adds a transaction and returns its handle.
    std::string add(open_transaction transaction);

    /// The open transaction with this handle, or null.
    open_transaction* find(const std::string& handle);

    void remove(const std::string& handle) { m_open.erase(handle); }

    /// Handles of the open transactions that satisfy a predicate.
    template <class Predicate>
    std::vector<std::string> handles_of(Predicate matches) const
    {
        std::vector<std::string> found;
        for (const auto& [handle, transaction] : m_open)
        {
            if (!matches(transaction))
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
