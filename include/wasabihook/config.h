#ifndef WASABIHOOK_CONFIG_H_
#define WASABIHOOK_CONFIG_H_

// Every default of the project, with its unit.

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "wasabihook/units.h"

namespace wasabihook::config {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// --- Requests of callers ---
inline constexpr Duration kDefaultDeadline = milliseconds(1000);
inline constexpr Duration kMaxDeadline = seconds(10);
inline constexpr Duration kSoftDeadline = milliseconds(200);
inline constexpr size_t kMaxBodyBytes = 256 * 1024;
inline constexpr size_t kMaxHeaderBytes = 16 * 1024;
inline constexpr uint32_t kMaxCallerConnections = 1024;
inline constexpr Duration kCallerIdleTimeout = seconds(30);

// --- Coverage ---
inline constexpr Fraction kLeastCoverage{0.9};

// --- Hedging and retries ---
inline constexpr Fraction kExtraLoadBudget{0.05};
inline constexpr uint32_t kMaxAttempts = 3;
inline constexpr Duration kInitialHedgeDelay = milliseconds(50);
inline constexpr Duration kMinHedgeDelay = milliseconds(2);
inline constexpr Duration kRetryBaseDelay = milliseconds(2);
inline constexpr Duration kRetryMaxDelay = milliseconds(50);

// --- Limits ---
inline constexpr uint32_t kFairShareWeight = 1;
inline constexpr uint32_t kMaxQueuedPerTeam = 256;

// --- Backend connections ---
inline constexpr Duration kConnectTimeout = milliseconds(250);
inline constexpr Duration kBackendIdleTimeout = seconds(60);
inline constexpr size_t kMaxBackendReplyBytes = 8 * 1024 * 1024;

// --- Outlier ejection ---
inline constexpr Fraction kMaxEjectedFraction{0.5};
inline constexpr Duration kBaseEjection = seconds(2);
inline constexpr Duration kSlowStart = seconds(5);

// --- Operations ---
inline constexpr Duration kClaimRetention = hours(24);
inline constexpr Duration kClockMargin = minutes(5);
inline constexpr Duration kQuarantineExpiry = minutes(10);

// --- Service-level objectives ---
inline constexpr Duration kLatencyObjective = milliseconds(82);
inline constexpr Fraction kLatencyTarget{0.99};
inline constexpr Fraction kCoverageTarget{0.999};

// --- Settings spread and membership ---
inline constexpr uint32_t kWatchersPerDataCentre = 2;
inline constexpr Duration kDigestPeriod = milliseconds(500);
inline constexpr Duration kWatchTimeout = seconds(30);
inline constexpr Duration kInstanceListPeriod = seconds(1);
// Platform calls for settings and membership, per data centre and second.
inline constexpr uint32_t kPlatformCallsPerSecond = 100;
inline constexpr uint32_t kRememberedChangeIds = 16;
inline constexpr size_t kMaxSettingsBytes = 1024 * 1024;

// --- Calls between instances ---
inline constexpr Duration kPeerCallTimeout = milliseconds(1000);
inline constexpr Duration kPeerConnectTimeout = milliseconds(250);
inline constexpr uint32_t kPeerThreads = 2;
// Kept connections to peers, per thread.
inline constexpr uint32_t kPeerConnectionsPerThread = 16;
inline constexpr size_t kMaxQueuedPeerCalls = 256;
inline constexpr size_t kMaxPeerMessageBytes = size_t{4} * 1024 * 1024;
// A pull response stops after this many bytes of settings; the rest is pulled
// with the next call.
inline constexpr size_t kMaxPulledBytes = size_t{2} * 1024 * 1024;
inline constexpr uint32_t kMaxPeerListLength = 10000;

// --- Shutdown ---
inline constexpr Duration kDrainNotice = seconds(5);
inline constexpr Duration kDrainLimit = seconds(60);

// --- Sharding of state ---
inline constexpr size_t kStateShards = 16;

}  // namespace wasabihook::config

#endif  // WASABIHOOK_CONFIG_H_
