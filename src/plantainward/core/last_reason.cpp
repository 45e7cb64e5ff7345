#include <plantainward/core/last_reason.hpp>

#include <utility>

namespace plantainward::core
{

namespace
{

reason& slot()
{
    thread_local reason current;
    return current;
}

} // namespace

const reason& last_reason()
{
    return slot();
}

std::nullopt_t fail(error_kind kind, std::string text)
{
    slot() = reason{kind, std::move(text)};
    return std::nullopt;
}

} // namespace plantainward::core
