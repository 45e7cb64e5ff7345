#include <plantainward/coordinator/request.hpp>

#include <plantainward/core/digest.hpp>

#include <algorithm>
#include <utility>

namespace plantainward::coordinator
{

namespace
{

// Each part is preceded by its length, so that different contents never have
// the same encoding.
void append_part(std::string& text, const std::string& part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

} // namespace

bool is_read_only(const caller_request& request)
{
    return request.kind == request_kind::one_shot && request.id.empty() &&
           std::all_of(request.statements.begin(), request.statements.end(),
                       [](const upstream::statement& statement) {
                           return upstream::is_read(statement.operation);
                       });
}

std::string content_digest(const caller_request& request)
{
    std::string text;
    append_part(text, request.service);
    append_part(text, std::to_string(request.slot));
    for (const auto& statement : request.statements)
    {
        append_part(text,
                    std::string(upstream::verb_names[statement.operation]));
        append_part(text, statement.key);
        append_part(text, statement.value);
        append_part(text, std::to_string(statement.amount));
    }
    return core::sha256_hex(text);
}

caller_reply failure(core::error_kind kind, std::string reason)
{
    caller_reply reply;
    reply.error = kind;
    reply.reason = std::move(reason);
    return reply;
}

} // namespace plantainward::coordinator
