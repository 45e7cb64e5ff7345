#pragma once

#include <string>
#include <utility>
#include <vector>

namespace support
{

/// Entries that another writer may leave among those of the databases: what is
/// odd about each, and its text. None of them names a database to use.
inline std::vector<std::pair<std::string, std::string>> odd_entries()
{
    const std::string sound = R"("service":"s","address":"127.0.0.1:9",)"
                              R"("zone":"a","state":"ready",)"
                              R"("database_role":"primary")";
    const auto with = [&](const std::string& more) {
        return "{" + sound + "," + more + "}";
    };
    const auto replaced = [&](const std::string& from, const std::string& to) {
        auto text = "{" + sound + R"(,"born":1,"sequence":1})";
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    const std::string deep_lists(20'000, '[');
    std::string deep_objects;
    for (int i = 0; i < 5'000; ++i)
        deep_objects += "{\"a\":";
    return {
        {"empty", ""},
        {"blank", " "},
        {"no JSON", "damaged"},
        {"cut off", "{" + sound},
        {"followed by more", "{" + sound + "}}"},
        {"null", "null"},
        {"number", "7"},
        {"text", "\"s\""},
        {"list", "[{" + sound + "}]"},
        {"empty object", "{}"},
        {"bytes that are no text", std::string("\xff\xfe\x00{}\x80", 6)},
        {"text that is no UTF-8", with("\"version\":\"\xc3\x28\"")},
        {"lone surrogate", with(R"("version":"\ud800")")},
        {"NUL", std::string("{\"service\":\"s\x00\"}", 16)},
        {"deep lists", deep_lists},
        {"deep objects", deep_objects},
        {"deep field",
         with("\"born\":" + std::string(2'000, '[') + std::string(2'000, ']'))},
        {"service of another type", replaced("\"s\"", "7")},
        {"service missing", replaced("\"service\"", "\"servis\"")},
        {"service null", replaced("\"s\"", "null")},
        {"service with blanks", replaced("\"s\"", "\"s u i\"")},
        {"service with a line end", replaced("\"s\"", R"("s\r\nBYE")")},
        {"service empty", replaced("\"s\"", "\"\"")},
        {"address of another type", replaced("\"127.0.0.1:9\"", "9")},
        {"address without port", replaced("127.0.0.1:9", "127.0.0.1")},
        {"port too large", replaced("127.0.0.1:9", "127.0.0.1:65536")},
        {"port far too large",
         replaced("127.0.0.1:9", "127.0.0.1:99999999999999999999")},
        {"port negative", replaced("127.0.0.1:9", "127.0.0.1:-1")},
        {"port zero", replaced("127.0.0.1:9", "127.0.0.1:0")},
        {"port with a fraction", replaced("127.0.0.1:9", "127.0.0.1:9.5")},
        {"port no number", replaced("127.0.0.1:9", "127.0.0.1:http")},
        {"port empty", replaced("127.0.0.1:9", "127.0.0.1:")},
        {"host name", replaced("127.0.0.1:9", "database.example:9")},
        {"host empty", replaced("127.0.0.1:9", ":9")},
        {"host out of range", replaced("127.0.0.1:9", "127.0.0.256:9")},
        {"host of IPv6", replaced("127.0.0.1:9", "[::1]:9")},
        {"zone of another type", replaced("\"a\"", "[]")},
        {"state unknown", replaced("\"ready\"", "\"resting\"")},
        {"state of another type", replaced("\"ready\"", "true")},
        {"role unknown", replaced("\"primary\"", "\"witness\"")},
        {"role of another type", replaced("\"primary\"", "{}")},
        {"start of another type", replaced("\"born\":1", "\"born\":\"1\"")},
        {"start with a fraction", replaced("\"born\":1", "\"born\":1.5")},
        {"start negative", replaced("\"born\":1", "\"born\":-1")},
        {"start too large",
         replaced("\"born\":1", "\"born\":18446744073709551616")},
        {"start far too large", replaced("\"born\":1", "\"born\":1e999")},
        {"start null", replaced("\"born\":1", "\"born\":null")},
        {"sequence of another type",
         replaced("\"sequence\":1", "\"sequence\":\"1\"")},
        {"sequence far too large",
         replaced("\"sequence\":1", "\"sequence\":1e400")},
        {"slots of another type", with("\"slots\":[3]")},
        {"slots far too large", with("\"slots\":1e400")},
        {"version of another type", with("\"version\":1")},
        {"time of another type", with("\"cold_remaining_ms\":\"0\"")},
    };
}

/// Keys of rows that another writer may use.
inline std::vector<std::string> odd_keys()
{
    return {" ",
            "a b",
            "a\r\nQUERY 1 WRITE a 1",
            "\"",
            "\\",
            "%00",
            "../servers",
            "\x01\x02",
            "\xc3\xa9",
            std::string(200, 'k')};
}

} // namespace support
