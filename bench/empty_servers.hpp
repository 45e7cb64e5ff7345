#pragma once

#include <string>

namespace bench
{

/// Answers each request with an empty object until the process is killed. Kind
/// `endpoint` uses Pistache's Http::Endpoint, `handler` this project's server
/// with an empty handler. Returns the exit code.
int serve_empty(const std::string& kind, int port);

} // namespace bench
