#pragma once

#include <platform/platform_state.hpp>

#include <plantainward/http/server.hpp>

#include <mutex>

namespace standin
{

/// Serves the platform's state over HTTP. The path `/faults` sets its
/// faults.
class platform_server
{
public:
    void handle(const plantainward::http::request& message,
                const plantainward::http::responder& respond);

private:
    void serve(const plantainward::http::request& message,
               const plantainward::http::responder& respond);
    void set_faults(const std::string& body,
                    const plantainward::http::responder& respond);

    std::mutex m_mutex;
    platform_state m_state;
    /// While hung, requests get no answer.
    bool m_hung{false};
};

} // namespace standin
