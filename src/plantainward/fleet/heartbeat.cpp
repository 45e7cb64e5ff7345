#include <plantainward/fleet/heartbeat.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/core/last_error.hpp>

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include <cereal/archives/portable_binary.hpp>

namespace plantainward::fleet
{

namespace
{

// Identifies the format of heartbeats; any other one is refused.
constexpr std::uint16_t format = 0x5036;

// Maximal length of a name in a heartbeat.
constexpr std::size_t max_name_bytes = 200;

// Maximal number of services in one heartbeat.
constexpr std::size_t max_services = 64;

/// A string with a length of one byte; cereal's own takes eight bytes.
struct short_string
{
    std::string& value;

    template <class Archive>
    void save(Archive& archive) const
    {
        const auto size =
            static_cast<std::uint8_t>(std::min(value.size(), max_name_bytes));
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
void archive_record(Archive& archive, succession::leadership& record)
{
    archive(record.version, record.phase, record.started_at_ms, record.term,
            record.promoting);
    short_string primary{record.primary};
    short_string writer{record.writer};
    archive(primary, writer);
}

// One byte for the size, and one for each database.
template <class Archive>
void archive_load(Archive& archive, std::vector<std::uint8_t>& in_flight)
{
    auto size = static_cast<std::uint8_t>(
        std::min(in_flight.size(), max_reported_databases));
    archive(size);
    in_flight.resize(std::min<std::size_t>(size, max_reported_databases));
    for (auto& count : in_flight)
        archive(count);
}

template <class Archive>
void archive_status(Archive& archive, service_status& status)
{
    bool has_record = status.record.has_value();
    archive(status.record_version, status.watches_primary,
            status.suspects_primary, status.cannot_write, has_record,
            status.watermark_age_ms, status.proof_age_ms);
    if (status.watermark_age_ms >= 0)
        archive(status.watermark);
    archive_load(archive, status.in_flight);
    if (!has_record)
        return;
    if (!status.record)
        status.record.emplace();
    archive_record(archive, *status.record);
}

template <class Archive>
void archive_header(Archive& archive, heartbeat& message)
{
    short_string host{message.host};
    archive(host, message.incarnation, message.sequence,
            message.echo_incarnation, message.echo_sequence,
            message.knows_records, message.has_read_lately,
            message.confirms_with_all, message.voters_version,
            message.routing_version, message.upstreams_version,
            message.routing_proof_age_ms);
    if (message.routing_proof_age_ms >= 0)
        archive(message.routing_proof_era);
}

} // namespace

service_key key_of(std::string_view service)
{
    return static_cast<service_key>(core::placement_hash(service, "service"));
}

std::string encode(const heartbeat& message)
{
    auto copy = message;
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(format);
    archive_header(archive, copy);
    archive(static_cast<std::uint8_t>(
        std::min(copy.services.size(), max_services)));
    std::size_t written = 0;
    for (auto& [key, status] : copy.services)
    {
        if (++written > max_services)
            break;
        archive(key);
        archive_status(archive, status);
    }
    return out.str();
}

std::optional<heartbeat> decode_heartbeat(std::string_view bytes)
{
    try
    {
        std::istringstream in{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(in);
        std::uint16_t received_format = 0;
        archive(received_format);
        if (received_format != format)
            return core::fail(core::error_kind::bad_request,
                              "heartbeat has an unknown format");
        heartbeat message;
        archive_header(archive, message);
        std::uint8_t count = 0;
        archive(count);
        for (std::uint8_t i = 0; i < count; ++i)
        {
            service_key key = 0;
            archive(key);
            archive_status(archive, message.services[key]);
        }
        return message;
    }
    catch (const std::exception& error)
    {
        return core::fail(core::error_kind::bad_request,
                          std::string("not a heartbeat: ") + error.what());
    }
}

} // namespace plantainward::fleet
