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

// --- Caller requests ---
inline constexpr Duration kDefaultDeadline = milliseconds(1000);
inline constexpr Duration kMaxDeadline = seconds(10);
inline constexpr Duration kSoftDeadline = milliseconds(200);
inline constexpr size_t kMaxBodyBytes = size_t{256} * 1024;
inline constexpr size_t kMaxHeaderBytes = size_t{16} * 1024;
inline constexpr uint32_t kMaxCallerConnections = 1024;
inline constexpr Duration kCallerIdleTimeout = seconds(30);
inline constexpr Duration kCallerBodyTimeout = seconds(30);
inline constexpr uint32_t kListenerThreads = 2;
// Maximum length of the request id, idempotency key, team and index set.
inline constexpr size_t kMaxIdBytes = 128;
inline constexpr size_t kMaxRecordKeyBytes = 1024;
inline constexpr int kMaxJsonDepth = 64;
inline constexpr Duration kMaxCallerTimeout = hours(1);
// Latest accepted Unix time, in milliseconds (end of year 9999).
inline constexpr int64_t kMaxUnixMillis = 253'402'300'799'999;
// Retry-after time of a request that arrives before the settings are loaded.
inline constexpr Duration kNoSettingsRetryDelay = seconds(1);
// How long a stopping listener waits for the first request of a new connection.
inline constexpr Duration kStopFirstRequestTimeout = milliseconds(200);

// --- Coverage ---
inline constexpr Fraction kDefaultMinCoverage{0.9};

// --- Hedging and retries ---
inline constexpr Fraction kExtraLoadBudget{0.05};
inline constexpr uint32_t kMaxAttempts = 3;
inline constexpr Duration kInitialHedgeDelay = milliseconds(50);
inline constexpr Duration kMinHedgeDelay = milliseconds(2);
inline constexpr Duration kRetryBaseDelay = milliseconds(2);
inline constexpr Duration kRetryMaxDelay = milliseconds(50);
// A hedge is sent once the attempt has taken longer than this quantile of the
// recent reply latencies of its group.
inline constexpr Fraction kHedgeQuantile{0.95};
// Minimum hedge delay as a multiple of the median latency. Keeps a group with
// little variance from spending its budget on replies that are about to arrive.
inline constexpr double kHedgeMedianFactor = 1.5;
// Ratio of the median latency to its long-term value from which the whole group
// counts as overloaded; hedges would then only lengthen its queues.
inline constexpr double kHedgeOverloadFactor = 3.0;
// Replies of a group after which its learned delay replaces the initial delay.
inline constexpr uint32_t kHedgeMinReplies = 20;
// Number of replies after which the weight of older replies is halved.
inline constexpr uint32_t kHedgeWindowReplies = 200;
// Maximum number of shard groups with latency statistics, over all teams.
inline constexpr size_t kMaxHedgeGroups = 65536;
// Maximum tokens that a team accumulates; limits a burst of hedges and retries.
inline constexpr double kMaxRetryTokens = 50.0;
// Initial tokens of a new team, and tokens that hedges leave for retries.
inline constexpr double kRetryTokenReserve = 5.0;

// --- Query engine ---
// Number of groups that must answer a body that was in flight on a crashed
// server before it counts as harmless, and the interval at which a delayed part
// checks.
inline constexpr uint32_t kMinAnswersToClearSuspect = 2;
inline constexpr Duration kSuspectRecheckDelay = milliseconds(5);
// Delay before the next attempt when no server of a group has capacity, unless
// one is released earlier.
inline constexpr Duration kCapacityRetryDelay = milliseconds(5);
// Maximum sub-requests queued for one server; others only poll.
inline constexpr size_t kMaxCapacityWaiters = 1024;
// How long a sub-query waits for a retry token. Only new requests add tokens,
// so sub-queries that waited until their deadline would hold the admission
// slots that new requests need.
inline constexpr Duration kRetryTokenWait = milliseconds(100);
// Interval and total time of polling for a newer snapshot when no replica of a
// group serves the pinned one.
inline constexpr Duration kSnapshotPollDelay = milliseconds(5);
inline constexpr Duration kSnapshotPollLimit = milliseconds(250);
inline constexpr uint32_t kMaxSnapshotRestarts = 2;
// An operation with less time until its deadline is not dispatched.
inline constexpr Duration kMinOperationTimeLeft = milliseconds(5);

// --- Limits ---
inline constexpr uint32_t kFairShareWeight = 1;
inline constexpr uint32_t kMaxQueuedPerTeam = 256;
// Requests that wait at a server beyond its slots, over all instances.
inline constexpr uint32_t kServerQueue = 2;
// Latency over the server's own baseline from which its limit shrinks.
inline constexpr double kLimitLatencyFactor = 2.5;
inline constexpr double kLimitDecrease = 0.7;
// Time for which a server that refused for overload is avoided, if it named
// none itself, and the longest time that it may name.
inline constexpr Duration kOverloadBackoff = milliseconds(5);
// Retry-After counts whole seconds, as long as a usual deadline, but a server
// with a few slots is free again after a few service times. With a longest time
// of 1 s a group whose servers had both refused once missed every answer.
inline constexpr Duration kMaxOverloadBackoff = milliseconds(20);

// --- Admission ---
// Capacity of a pool until it is set, in whole requests.
inline constexpr uint32_t kInitialPoolCapacity = 64;
inline constexpr double kAdmissionDecrease = 0.9;
// Latency over the pool's baseline from which its limit shrinks.
inline constexpr double kAdmissionLatencyFactor = 2.0;
// A queue whose oldest request has waited longer than the target for a whole
// interval serves the newest request first and refuses what waits longer than
// the target, so that a refusal under overload takes less than 20 ms. A request
// never waits longer than the interval.
inline constexpr Duration kQueueTarget = milliseconds(15);
inline constexpr Duration kQueueInterval = milliseconds(100);

// --- Replica choice ---
// Time in which a latency estimate without new replies halves, so that a slow
// server is tried again.
inline constexpr Duration kLatencyHalfLife = seconds(5);
inline constexpr Duration kMinLatencyEstimate = std::chrono::microseconds(100);
// Weight of load that a server reports against load that this instance knows.
inline constexpr double kLoadHintWeight = 0.3;
// Below 1, so that no report outweighs a sub-request of this instance.
inline constexpr double kMaxHintedLoad = 0.9;
// Time in which the weight of a reported load halves.
inline constexpr Duration kLoadHintHalfLife = milliseconds(50);
// Servers that no snapshot has listed for this time are forgotten.
inline constexpr Duration kServerRetention = minutes(10);
inline constexpr Duration kServerSweepPeriod = seconds(30);

// --- Backend connections ---
inline constexpr Duration kConnectTimeout = milliseconds(250);
inline constexpr Duration kBackendIdleTimeout = seconds(60);
inline constexpr size_t kMaxBackendReplyBytes = size_t{8} * 1024 * 1024;
// Share of a server's connections kept free for instances that arrive before
// those they replace have closed theirs.
inline constexpr Fraction kConnectionReserve{0.25};
inline constexpr uint32_t kBackendShards = 4;
// Applies until SetConnectionLimit() is called for a server.
inline constexpr uint32_t kBackendConnections = 4;
// Time without a reply byte after which a connection is checked, if the caller
// of the transport gives no expected time.
inline constexpr Duration kProgressTimeout = milliseconds(250);
// Connections to one server opened within this time count as equally old: a
// fan-out opens several at once, and an answer on one speaks for the others.
inline constexpr Duration kSameAge = milliseconds(100);
inline constexpr Duration kProbeTimeout = milliseconds(500);
inline constexpr Duration kCancelTimeout = milliseconds(250);
// Unacknowledged data older than this breaks a backend connection.
inline constexpr Duration kTcpUserTimeout = seconds(2);
inline constexpr seconds kTcpKeepaliveIdle{5};
inline constexpr seconds kTcpKeepaliveInterval{2};
inline constexpr uint32_t kMaxReplyNesting = 64;
// Cancelled ids per server that wait to be sent; more are dropped.
inline constexpr size_t kMaxPendingCancels = 64;

// --- Outlier ejection ---
inline constexpr Fraction kMaxEjectedFraction{0.5};
inline constexpr Duration kBaseEjection = seconds(2);
inline constexpr Duration kSlowStart = seconds(5);
inline constexpr Duration kMaxEjection = seconds(60);
// Ejection times vary by this share, so that instances do not probe at once.
inline constexpr Fraction kEjectionJitter{0.25};
// Healthy time after which earlier ejections no longer lengthen the next.
inline constexpr Duration kEjectionMemory = minutes(5);
inline constexpr uint32_t kConsecutiveFailures = 5;
inline constexpr uint32_t kConsecutiveConnectFailures = 3;
// A server is an outlier if its latency exceeds the median of its peers by this
// factor and is at least the floor.
inline constexpr double kOutlierLatencyFactor = 5.0;
inline constexpr Duration kOutlierLatencyFloor = milliseconds(20);
inline constexpr uint32_t kOutlierMinReplies = 10;
// Share of its usual load that a cold server gets first.
inline constexpr Fraction kSlowStartShare{0.1};

// --- Drain marks of servers; each is renewed while its source repeats it ---
inline constexpr Duration kDrainMark = seconds(60);
// Short, so that instances do not keep each other's marks alive.
inline constexpr Duration kPeerDrainMark = seconds(10);
// For a server that still answers but reports that it is draining.
inline constexpr Duration kDrainHintMark = seconds(10);

// --- Operations ---
inline constexpr Duration kClaimRetention = hours(24);
inline constexpr Duration kClockMargin = minutes(5);
inline constexpr Duration kQuarantineExpiry = minutes(10);
inline constexpr Duration kMaxQuarantineExpiry = hours(1);
// Reports of one server within this time are one crash.
inline constexpr Duration kCrashMergeWindow = seconds(1);
// Bodies that evidence is kept of.
inline constexpr size_t kMaxSuspectBodies = 16'384;
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
// Each instance looks through its share of the claims once in this time.
inline constexpr Duration kClaimSweepPeriod = hours(1);
inline constexpr Duration kClaimCleanerTick = seconds(1);
// Calls of the cleaner of one instance in one tick.
inline constexpr uint32_t kClaimCleanerCallsPerTick = 20;
// Key ranges of a team's claims; the cleaner lists one range at a time.
inline constexpr uint32_t kClaimBuckets = 4096;

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
inline constexpr size_t kReportCauses = 5;
// Counts reach the platform within three minutes when all is well.
inline constexpr Duration kReportStaleAge = minutes(10);

// --- Settings spread and membership ---
inline constexpr uint32_t kWatchersPerDataCentre = 2;
inline constexpr Duration kDigestPeriod = milliseconds(500);
// Bounds how long a connection that went silent hides a change; the bound of
// propagation is 5 s.
inline constexpr Duration kWatchTimeout = seconds(2);
// Added to kWatchTimeout before an unanswered watch is given up.
inline constexpr Duration kWatchGrace = seconds(1);
// Least time between two watches of one instance, so that a burst of changes
// is read in one response.
inline constexpr Duration kMinWatchGap = milliseconds(200);
// Short, because a change that is accepted just after an outage must be seen
// within the bound of propagation.
inline constexpr Duration kWatchMaxBackoff = milliseconds(1500);
inline constexpr Duration kPlatformBackoff = milliseconds(200);
inline constexpr Duration kPlatformMaxBackoff = seconds(10);
// Peers told at once of a newer value, and the time for which further news is
// gathered first.
inline constexpr uint32_t kNewsFanout = 3;
inline constexpr Duration kNewsDelay = milliseconds(20);
// Least time between two rounds of news; bounds the digests in a burst of
// changes.
inline constexpr Duration kMinNewsGap = milliseconds(200);
// One in this many digest responses lists all revisions, though the sender only
// needs the newer ones; repairs a gap below the greatest revision.
inline constexpr uint32_t kFullListPeriod = 8;
// Entries of each kind of notice in one digest.
inline constexpr size_t kMaxPeerNotices = 64;
// One in this many digest rounds calls a suspect instance, so that instances
// that suspect each other find out when contact returns.
inline constexpr uint32_t kSuspectProbePeriod = 4;
inline constexpr Duration kInstanceListPeriod = seconds(1);
// Bounds the traffic of reading the list: the period grows with the number of
// instances, each of which takes this many bytes.
inline constexpr size_t kInstanceListBytesPerSecond = 4096;
inline constexpr size_t kListedInstanceBytes = 128;
// Time between two announcements of one instance, and the announcements of all
// instances together per second, whichever is slower.
inline constexpr Duration kAnnouncePeriod = seconds(5);
inline constexpr double kAnnouncementsPerSecond = 100.0;
// Failed calls after which an instance is suspect.
inline constexpr uint32_t kSuspectFailures = 2;
// The list does not overrule direct contact that is younger than this.
inline constexpr Duration kDirectEvidence = seconds(10);
// Lists that lack an instance before it is gone.
inline constexpr uint32_t kMissingLists = 3;
// Time after which a suspect that no recent list shows is gone.
inline constexpr Duration kSuspectExpiry = seconds(30);
inline constexpr size_t kMaxReplacedInstances = 4096;
// Platform calls for settings and membership, per data centre and second.
inline constexpr uint32_t kPlatformCallsPerSecond = 100;
inline constexpr uint32_t kRememberedChangeIds = 16;
inline constexpr size_t kMaxSettingsBytes = size_t{1024} * 1024;

// --- Calls between instances ---
inline constexpr Duration kPeerCallTimeout = milliseconds(1000);
inline constexpr Duration kPeerConnectTimeout = milliseconds(250);
inline constexpr uint32_t kPeerThreads = 2;
// Kept connections to peers, per thread.
inline constexpr uint32_t kPeerConnectionsPerThread = 16;
inline constexpr uint32_t kPeerListenerThreads = 1;
inline constexpr uint32_t kMaxPeerConnections = 1024;
inline constexpr Duration kPeerIdleTimeout = seconds(30);
inline constexpr size_t kMaxQueuedPeerCalls = 256;
inline constexpr size_t kMaxPeerMessageBytes = size_t{4} * 1024 * 1024;
// A pull response stops after this many bytes of settings; the rest is pulled
// with the next call.
inline constexpr size_t kMaxPulledBytes = size_t{2} * 1024 * 1024;
inline constexpr uint32_t kMaxPeerListLength = 10000;

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
// Longest time that the platform may hold up the end of a drained instance.
inline constexpr Duration kHandOverLimit = seconds(10);
inline constexpr Duration kHandOverPoll = milliseconds(20);

// --- Threads and logs ---
inline constexpr uint32_t kTimerThreads = 2;
inline constexpr uint32_t kBackendThreads = 2;

// --- Sharding of state ---
inline constexpr size_t kStateShards = 16;

}  // namespace wasabihook::config

#endif  // WASABIHOOK_CONFIG_H_
