// The platform's store of rows, and the call that promotes a database.

#pragma once

#include "net.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/json.hpp>

namespace review
{

class row_store
{
public:
    using promotion_handler =
        std::function<int(const std::string& service, const std::string& id,
                          const std::string& holder, std::uint64_t token)>;

    /// Serves the store and the promotion call at one address.
    row_store(const std::string& ip, std::uint16_t port,
              promotion_handler on_promotion);

    /// Writes a row as the operator or a database does.
    void put(const std::string& table, const std::string& key,
             const std::string& text);
    void remove(const std::string& table, const std::string& key);

private:
    struct row
    {
        std::string value;
        std::uint64_t version{0};
        bool removed{false};
    };

    struct answer
    {
        int status{200};
        boost::json::object body;
    };

    void serve(const std::shared_ptr<stream>& client);
    answer handle(const std::string& method, const std::string& target,
                  const std::map<std::string, std::string>& fields,
                  const std::string& body);
    answer transact(const std::string& body);
    answer get(const std::map<std::string, std::string>& query);
    answer feed(const std::map<std::string, std::string>& query);
    boost::json::object describe(const std::pair<std::string, std::string>& key,
                                 const row& stored) const;

    promotion_handler m_on_promotion;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, row> m_rows;
    std::uint64_t m_version{100};
};

} // namespace review
