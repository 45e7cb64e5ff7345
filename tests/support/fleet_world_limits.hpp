#pragma once

#include <support/fleet_world.hpp>

namespace support
{

// Names and times of the simulated fleet.
inline constexpr const char* service_name = "ledger";
inline constexpr const char* store_name = "store";
inline constexpr const char* platform_name = "platform";
inline constexpr const char* workspace_name = "shop";
inline constexpr const char* key_digest = "digest of the callers' key";

inline constexpr millis link_delay{1};
inline constexpr millis store_delay{4};
inline constexpr millis command_time{3};
inline constexpr millis promotion_time{100};
inline constexpr millis open_timeout{1000};
inline constexpr millis tick_interval{20};
inline constexpr millis link_timeout{400};

// The host stops waiting for the write of a record after this time.
inline constexpr millis write_timeout{1000};

// Range of the delay after which a write without an answer is performed.
inline constexpr millis min_late_write_delay{1000};
inline constexpr millis max_late_write_delay{6000};

// Interval between attempts of a feed that is cut off.
inline constexpr millis feed_retry_interval{200};

} // namespace support
