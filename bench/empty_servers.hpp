#pragma once

#include <string>

namespace bench
{

/// Serves empty answers until it is killed: `endpoint` by Pistache's
/// Http::Endpoint, `handler` by this project's server with an empty handler.
int serve_empty(const std::string& kind, int port);

} // namespace bench
