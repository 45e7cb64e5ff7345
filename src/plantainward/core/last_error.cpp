#include <plantainward/core/last_error.hpp>

#include <utility>

namespace plantainward::core
{

namespace
{

error& slot()
{
    thread_local error current;
    return current;
}

} // namespace

const error& last_error()
{
    return slot();
}

std::nullopt_t fail(error_kind kind, std::string text)
{
    slot() = error{kind, std::move(text)};
    return std::nullopt;
}

} // namespace plantainward::core
