#include <plantainward/http/internal/keep_alive.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace plantainward::http::internal
{

namespace
{

// A silent connection is closed 3 s after the last byte: early enough to open
// another one and read what was missed within the 3 s in which a change of the
// routing must be in force, once the host counts as undisturbed 4 s after the
// silence began.
constexpr int idle_time_s = 1;
constexpr int probe_interval_s = 1;
constexpr int max_unanswered_probes = 2;

// The options exist for every TCP socket on Linux, so the calls can't fail.
void set_option(int socket, int level, int option, int value)
{
    ::setsockopt(socket, level, option, &value, sizeof value);
}

} // namespace

void enable_keep_alive(int socket)
{
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, idle_time_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, max_unanswered_probes);
}

} // namespace plantainward::http::internal
