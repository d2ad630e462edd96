// The rules that tests build the core without, to see that they notice (tests/CMakeLists.txt).
#pragma once

#ifndef STREAMPICK_SHARES_WITHOUT
#define STREAMPICK_SHARES_WITHOUT 0
#endif

namespace streampick::leases {

inline constexpr int kWithout = STREAMPICK_SHARES_WITHOUT;
inline constexpr int kMargin = 1;    // for clocks that differ in speed
inline constexpr int kFence = 2;     // claims and grants count for their own epoch only
inline constexpr int kWait = 3;      // a new home waits for what was begun before it
inline constexpr int kAtUse = 4;     // a part ends by the holder's clock at the moment of use
inline constexpr int kMajority = 5;  // ... of promises makes a home
inline constexpr int kSilence = 6;   // of a voter that has just started, or slept
inline constexpr int kOut = 7;       // what was granted before counts until its holder has said otherwise

}  // namespace streampick::leases
