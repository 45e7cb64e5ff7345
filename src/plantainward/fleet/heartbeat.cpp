#include <plantainward/fleet/heartbeat.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/core/last_reason.hpp>

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include <cereal/archives/portable_binary.hpp>

namespace plantainward::fleet
{

namespace
{

// Names the format; another one is refused.
constexpr std::uint16_t format = 0x5033;

// Longest name that a heartbeat carries, in bytes.
constexpr std::size_t max_text = 200;

// Services in one heartbeat.
constexpr std::size_t max_services = 64;

/// A text with a length of one byte; cereal's own takes eight.
struct short_text
{
    std::string& value;

    template <class Archive>
    void save(Archive& archive) const
    {
        const auto size =
            static_cast<std::uint8_t>(std::min(value.size(), max_text));
        archive(size, cereal::binary_data(value.data(), size));
    }

    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t size = 0;
        archive(size);
        value.resize(size);
        archive(cereal::binary_data(value.data(), size));
    }
};

template <class Archive>
void exchange_record(Archive& archive, succession::leadership& one)
{
    archive(one.version, one.phase, one.born_ms, one.term, one.promoting);
    short_text primary{one.primary};
    short_text writer{one.writer};
    archive(primary, writer);
}

template <class Archive>
void exchange_news(Archive& archive, service_news& one)
{
    bool has_record = one.record.has_value();
    archive(one.record_version, one.watches_primary, one.suspects_primary,
            one.cannot_write, has_record, one.mark_age_ms, one.proof_age_ms);
    if (one.mark_age_ms >= 0)
        archive(one.mark);
    if (!has_record)
        return;
    if (!one.record)
        one.record.emplace();
    exchange_record(archive, *one.record);
}

template <class Archive>
void exchange_header(Archive& archive, heartbeat& one)
{
    short_text host{one.host};
    archive(host, one.incarnation, one.sequence, one.echo_incarnation,
            one.echo_sequence, one.knows_records, one.routing_version,
            one.upstreams_version);
}

} // namespace

service_key key_of(std::string_view service)
{
    return static_cast<service_key>(core::placement_hash(service, "service"));
}

std::string encode(const heartbeat& one)
{
    auto copy = one;
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(format);
    exchange_header(archive, copy);
    archive(static_cast<std::uint8_t>(
        std::min(copy.services.size(), max_services)));
    std::size_t written = 0;
    for (auto& [key, news] : copy.services)
    {
        if (++written > max_services)
            break;
        archive(key);
        exchange_news(archive, news);
    }
    return out.str();
}

std::optional<heartbeat> decode_heartbeat(std::string_view bytes)
{
    try
    {
        std::istringstream in{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(in);
        std::uint16_t found = 0;
        archive(found);
        if (found != format)
            return core::fail(core::error_kind::bad_request,
                              "a heartbeat of another format");
        heartbeat one;
        exchange_header(archive, one);
        std::uint8_t count = 0;
        archive(count);
        for (std::uint8_t i = 0; i < count; ++i)
        {
            service_key key = 0;
            archive(key);
            exchange_news(archive, one.services[key]);
        }
        return one;
    }
    catch (const std::exception& error)
    {
        return core::fail(core::error_kind::bad_request,
                          std::string("not a heartbeat: ") + error.what());
    }
}

} // namespace plantainward::fleet
