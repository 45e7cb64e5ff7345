#pragma once

#include "history.hpp"

#include <string>
#include <string_view>

namespace soak
{

inline std::string first_word(std::string_view text)
{
    return std::string(text.substr(0, text.find(' ')));
}

/// Removes the first word of a text and returns it.
inline std::string take_word(std::string& rest)
{
    const auto space = rest.find(' ');
    auto word = rest.substr(0, space);
    rest = space == std::string::npos ? std::string() : rest.substr(space + 1);
    return word;
}

/// Reads and writes, also those that are prepared.
inline bool is_data_statement(std::string_view text)
{
    const auto word = first_word(text);
    return word == "READ" || word == "WRITE" || word == "EXECUTE";
}

/// Statements that only a database can answer.
inline bool needs_database(std::string_view text)
{
    return is_data_statement(text) || first_word(text) == "COMMIT";
}

/// Whether a database ran a statement, as its answer says. One that got no
/// answer counts from its start.
inline bool has_run(const run& item)
{
    const bool was_refused = item.code == "BUSY" || item.code == "NOSTMT" ||
                             item.code == "LAGGING" ||
                             item.code == "READONLY" ||
                             item.code == "MALFORMED";
    return item.started != never && !was_refused;
}

/// Whether a text is the one that the caller sent. The name of a prepared
/// statement may be another one.
inline bool is_same_statement(std::string text, std::string asked)
{
    const auto word = take_word(text);
    if (word != take_word(asked))
        return false;
    if (word == "EXECUTE" || word == "PREPARE" || word == "DEALLOCATE")
    {
        take_word(text);
        take_word(asked);
    }
    return text == asked;
}

} // namespace soak
