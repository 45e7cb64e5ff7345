#include <plantainward/core/last_error.hpp>

#include <utility>

namespace plantainward::core
{

namespace
{

error& current_error()
{
    thread_local error current;
    return current;
}

} // namespace

const error& last_error()
{
    return current_error();
}

std::nullopt_t fail(error_kind kind, std::string text)
{
    current_error() = error{kind, std::move(text)};
    return std::nullopt;
}

} // namespace plantainward::core
