#pragma once

#include <support/fleet_world.hpp>

namespace support
{

// Names and times of the simulated fleet.
inline constexpr const char* service_name = "ledger";
inline constexpr const char* store_name = "store";
inline constexpr const char* platform_name = "platform";

inline constexpr millis link_delay{1};
inline constexpr millis store_delay{4};
inline constexpr millis work_time{3};
inline constexpr millis promote_time{100};
inline constexpr millis open_timeout{1000};
inline constexpr millis tick_interval{20};
inline constexpr millis link_silence{400};

// The client gives a write of a record up after this time.
inline constexpr millis write_limit{1000};

// A write without an answer may be performed after this time.
inline constexpr millis late_write_least{1000};
inline constexpr millis late_write_most{6000};

// Between the tries of a feed that is cut off.
inline constexpr millis feed_retry{200};

} // namespace support
