#pragma once

namespace plantainward::http::internal
{

/// Makes the kernel probe a connection on which nothing arrives, and close it
/// when the probes are not answered.
///
/// A path may go silent without a reset. While a response is awaited that may
/// take long, such as that of a feed, nothing else shows it.
void enable_keep_alive(int socket);

} // namespace plantainward::http::internal
