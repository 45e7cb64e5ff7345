#include <plantainward/fleet/heartbeat.hpp>

#include <plantainward/core/last_reason.hpp>

#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>

namespace plantainward::fleet
{

std::string encode(const heartbeat& one)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(one);
    return out.str();
}

std::optional<heartbeat> decode_heartbeat(std::string_view bytes)
{
    try
    {
        std::istringstream in{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(in);
        heartbeat one;
        archive(one);
        return one;
    }
    catch (const std::exception& error)
    {
        return core::fail(core::error_kind::bad_request,
                          std::string("not a heartbeat: ") + error.what());
    }
}

} // namespace plantainward::fleet
