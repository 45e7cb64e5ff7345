#include <plantainward/intent/bundle.hpp>

#include <plantainward/core/last_error.hpp>

#include <algorithm>
#include <exception>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace plantainward::intent
{

namespace json = boost::json;
namespace fs = std::filesystem;

std::optional<bundle> read_folder(const std::string& folder)
{
    std::error_code error;
    bundle files;
    for (const auto& entry : fs::directory_iterator(folder, error))
    {
        if (entry.path().extension() != ".toml")
            continue;
        std::ifstream in(entry.path());
        std::ostringstream text;
        text << in.rdbuf();
        if (!in)
            return core::fail(core::error_kind::bad_intent,
                              "cannot read " + entry.path().string());
        files.push_back({entry.path().filename().string(), text.str()});
    }
    if (error)
        return core::fail(core::error_kind::bad_intent, "cannot read folder " +
                                                            folder + ": " +
                                                            error.message());
    if (files.empty())
        return core::fail(core::error_kind::bad_intent,
                          "folder " + folder + " has no .toml files");
    std::sort(files.begin(), files.end(),
              [](const intent_file& a, const intent_file& b) {
                  return a.name < b.name;
              });
    return files;
}

std::string encode(const bundle& files)
{
    json::array items;
    for (const auto& file : files)
        items.push_back(json::object{{"name", file.name}, {"text", file.text}});
    return json::serialize(items);
}

std::optional<bundle> decode_bundle(std::string_view body)
{
    try
    {
        bundle files;
        const auto parsed = json::parse({body.data(), body.size()});
        for (const auto& item : parsed.as_array())
            files.push_back({std::string(item.at("name").as_string()),
                             std::string(item.at("text").as_string())});
        return files;
    }
    catch (const std::exception& error)
    {
        return core::fail(core::error_kind::bad_intent,
                          std::string("malformed body: ") + error.what());
    }
}

} // namespace plantainward::intent
