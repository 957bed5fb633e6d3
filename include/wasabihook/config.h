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
// Delay before an unclear claim write is read back again.
inline constexpr Duration kClaimRetryBaseDelay = milliseconds(5);
inline constexpr Duration kClaimRetryMaxDelay = milliseconds(100);
// Delay before outcomes and withdrawals are tried again.
inline constexpr Duration kClaimFinishBaseDelay = milliseconds(20);
inline constexpr Duration kClaimFinishMaxDelay = seconds(10);
inline constexpr uint32_t kMaxClaimFinishAttempts = 4096;
inline constexpr uint32_t kMaxClaimFinishesInFlight = 16;
inline constexpr size_t kMaxUnfinishedClaims = 10'000;
// Rows beyond this are not kept with a claim.
inline constexpr size_t kMaxRecordedOutcomeBytes = size_t{16} * 1024;
// Key ranges of a team's claims; the cleaner lists one range at a time.
inline constexpr uint32_t kClaimBuckets = 4096;

// --- Service-level objectives ---
inline constexpr Duration kLatencyObjective = milliseconds(82);
inline constexpr Fraction kLatencyTarget{0.99};
inline constexpr Fraction kCoverageTarget{0.999};

// --- Settings spread and membership ---
inline constexpr uint32_t kWatchersPerDataCentre = 2;
inline constexpr Duration kDigestPeriod = milliseconds(500);
inline constexpr Duration kWatchTimeout = seconds(30);
inline constexpr Duration kInstanceListPeriod = seconds(1);
inline constexpr uint32_t kRememberedChangeIds = 16;
inline constexpr size_t kMaxSettingsBytes = 1024 * 1024;

// --- Platform calls ---
inline constexpr Duration kPlatformConnectTimeout = milliseconds(250);
inline constexpr Duration kPlatformCallTimeout = milliseconds(2000);
// Added to the wait of a watch, for the response to arrive.
inline constexpr Duration kPlatformWatchGrace = seconds(2);
// A connection that is idle for longer is not used again.
inline constexpr Duration kPlatformIdleTimeout = seconds(5);
inline constexpr uint32_t kMaxPlatformCalls = 4096;
inline constexpr uint32_t kMaxPlatformConnections = 64;
inline constexpr size_t kMaxPlatformKeyBytes = 1024;
inline constexpr size_t kMaxPlatformValueBytes = size_t{1024} * 1024;
inline constexpr size_t kMaxPlatformResponseBytes = size_t{64} * 1024 * 1024;

// --- Shutdown ---
inline constexpr Duration kDrainNotice = seconds(5);
inline constexpr Duration kDrainLimit = seconds(60);

// --- Sharding of state ---
inline constexpr size_t kStateShards = 16;

}  // namespace wasabihook::config

#endif  // WASABIHOOK_CONFIG_H_
