#pragma once

#include <support/fleet_world.hpp>

namespace support
{

// Names and times of the simulated fleet.
inline constexpr const char* service_name = "ledger";
inline constexpr const char* store_name = "store";

inline constexpr millis link_delay{1};
inline constexpr millis store_delay{4};
inline constexpr millis work_time{3};
inline constexpr millis promote_time{100};
inline constexpr millis open_timeout{1000};
inline constexpr millis tick_interval{20};
inline constexpr millis link_silence{400};

} // namespace support
