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

// --- Burn counts ---
// Period at which the aggregator of a data centre collects and writes counts.
inline constexpr Duration kBurnCollectPeriod = seconds(60);
// One-minute buckets that an instance keeps while they cannot be made durable:
// six hours of an outage of the platform.
inline constexpr size_t kBurnRetainedBuckets = 360;
// Bounds the memory of the aggregator when instances catch up after an outage.
inline constexpr size_t kBurnBucketsPerResponse = 10;
inline constexpr size_t kBurnPeerCallsInFlight = 16;
// Largest value that the platform takes: 1 MB.
inline constexpr size_t kMaxBurnValueBytes = 1'000'000;
// A leaving instance writes its last counts itself; it competes with the
// aggregator and with other leaving instances.
inline constexpr int kBurnHandOverAttempts = 6;
inline constexpr Duration kBurnHandOverBackoff = milliseconds(200);
inline constexpr size_t kBurnCausesPerCell = 16;
// Ages up to which counts are kept by the minute, by five minutes and by the
// hour. Each exceeds the report windows that it serves by a margin.
inline constexpr Duration kBurnMinuteCells = minutes(75);
inline constexpr Duration kBurnFiveMinuteCells = hours(7);
inline constexpr Duration kBurnHourCells = hours(74);
// An instance that could not be collected for this long loses older counts.
inline constexpr Duration kBurnWatermarkRetention = hours(6);
// Burn rates of the alerts. At 14.4, one hour uses up 20 % of a budget of 3 d.
inline constexpr double kPageBurnRate = 14.4;
inline constexpr double kTicketBurnRate = 1.0;

// --- Settings spread and membership ---
inline constexpr uint32_t kWatchersPerDataCentre = 2;
inline constexpr Duration kDigestPeriod = milliseconds(500);
inline constexpr Duration kWatchTimeout = seconds(30);
inline constexpr Duration kInstanceListPeriod = seconds(1);
inline constexpr uint32_t kRememberedChangeIds = 16;
inline constexpr size_t kMaxSettingsBytes = 1024 * 1024;

// --- Shutdown ---
inline constexpr Duration kDrainNotice = seconds(5);
inline constexpr Duration kDrainLimit = seconds(60);

// --- Sharding of state ---
inline constexpr size_t kStateShards = 16;

}  // namespace wasabihook::config

#endif  // WASABIHOOK_CONFIG_H_
