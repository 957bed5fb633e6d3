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
inline constexpr uint32_t kDefaultTeamWeight = 1;
inline constexpr uint32_t kMaxQueuedPerTeam = 256;
// Requests that may queue at a server beyond its slots, over all instances.
inline constexpr uint32_t kMaxServerQueueLength = 2;
// Ratio of the latency to the server's baseline above which its concurrency
// limit shrinks.
inline constexpr double kLimitLatencyFactor = 2.5;
inline constexpr double kLimitDecreaseFactor = 0.7;
// Time for which a server that refused a request for overload is avoided if its
// refusal has no Retry-After.
inline constexpr Duration kOverloadBackoff = milliseconds(5);
// Upper bound on the time from Retry-After. That header has a resolution of one
// second, as long as a typical deadline, but a server with a few slots is free
// again after a few service times. With a bound of 1 s, a group whose two
// servers had each refused once missed every answer.
inline constexpr Duration kMaxOverloadBackoff = milliseconds(20);

// --- Admission ---
// Capacity of a pool in whole requests, until SetPoolCapacity() is called.
inline constexpr uint32_t kInitialPoolCapacity = 64;
inline constexpr double kAdmissionDecreaseFactor = 0.9;
// Ratio of the latency to the pool's baseline above which its concurrency limit
// shrinks.
inline constexpr double kAdmissionLatencyFactor = 2.0;
// A queue whose oldest request has waited for longer than the target throughout
// an interval is a standing queue: it serves the newest request first and
// refuses requests that have waited for longer than the target, so that a
// refusal under overload takes less than 20 ms. No request waits for longer
// than the interval.
inline constexpr Duration kQueueDelayTarget = milliseconds(15);
inline constexpr Duration kQueueDelayInterval = milliseconds(100);

// --- Replica choice ---
// Half-life of a latency estimate without new replies; the decay makes sure
// that a slow server is tried again.
inline constexpr Duration kLatencyHalfLife = seconds(5);
inline constexpr Duration kMinLatencyEstimate = std::chrono::microseconds(100);
// Weight of the load that a server reports, relative to this instance's own
// outstanding sub-requests.
inline constexpr double kLoadHintWeight = 0.3;
// Below 1, so that no report outweighs an outstanding sub-request of this
// instance.
inline constexpr double kMaxHintedLoad = 0.9;
// Half-life of the weight of a reported load.
inline constexpr Duration kLoadHintHalfLife = milliseconds(50);
// The state of a server that no snapshot has listed for this time is removed.
inline constexpr Duration kServerRetention = minutes(10);
inline constexpr Duration kServerSweepPeriod = seconds(30);

// --- Backend connections ---
inline constexpr Duration kConnectTimeout = milliseconds(250);
inline constexpr Duration kBackendIdleTimeout = seconds(60);
inline constexpr size_t kMaxBackendReplyBytes = size_t{8} * 1024 * 1024;
// Share of a server's connections reserved for instances that start before
// those they replace have closed their connections.
inline constexpr Fraction kConnectionReserve{0.25};
inline constexpr uint32_t kBackendShards = 4;
// Applies until SetConnectionLimit() is called for a server.
inline constexpr uint32_t kDefaultBackendConnections = 4;
// Time without a reply byte after which a connection is probed, if the caller
// of the transport gives no expected time.
inline constexpr Duration kProgressTimeout = milliseconds(250);
// Connections to one server opened within this time are treated as equally old:
// a fan-out opens several at once, and a reply on one of them shows that the
// others work.
inline constexpr Duration kSameAgeWindow = milliseconds(100);
inline constexpr Duration kProbeTimeout = milliseconds(500);
inline constexpr Duration kCancelTimeout = milliseconds(250);
// A backend connection is closed if sent data stays unacknowledged for this
// time.
inline constexpr Duration kTcpUserTimeout = seconds(2);
inline constexpr seconds kTcpKeepaliveIdle{5};
inline constexpr seconds kTcpKeepaliveInterval{2};
inline constexpr uint32_t kMaxReplyNesting = 64;
// Maximum cancellations queued for one server; further ones are dropped.
inline constexpr size_t kMaxPendingCancels = 64;

// --- Outlier ejection ---
inline constexpr Fraction kMaxEjectedFraction{0.5};
inline constexpr Duration kBaseEjectionTime = seconds(2);
inline constexpr Duration kSlowStartWindow = seconds(5);
inline constexpr Duration kMaxEjectionTime = seconds(60);
// Ejection times vary randomly by this share, so that instances do not probe at
// the same time.
inline constexpr Fraction kEjectionJitter{0.25};
// Time in use since the last recovery after which earlier ejections no longer
// lengthen the next one.
inline constexpr Duration kEjectionCountResetTime = minutes(5);
inline constexpr uint32_t kConsecutiveFailures = 5;
inline constexpr uint32_t kConsecutiveConnectFailures = 3;
// A server is an outlier if its latency is more than this multiple of the
// median latency of its peers and at least kOutlierLatencyFloor.
inline constexpr double kOutlierLatencyFactor = 5.0;
inline constexpr Duration kOutlierLatencyFloor = milliseconds(20);
inline constexpr uint32_t kOutlierMinReplies = 10;
// Share of its normal load that a server gets at the beginning of slow start.
inline constexpr Fraction kSlowStartInitialShare{0.1};

// --- Drain marks of servers ---
// Each mark is renewed while its source repeats it.
inline constexpr Duration kDrainMarkDuration = seconds(60);
// Short, so that instances do not renew each other's marks.
inline constexpr Duration kPeerDrainMarkDuration = seconds(10);
// For a server that still answers but reports that it is draining.
inline constexpr Duration kDrainHintDuration = seconds(10);

// --- Operations ---
inline constexpr Duration kClaimRetention = hours(24);
inline constexpr Duration kClockMargin = minutes(5);
inline constexpr Duration kQuarantineExpiry = minutes(10);
inline constexpr Duration kMaxQuarantineExpiry = hours(1);
// Crash reports of one server within this time count as one crash.
inline constexpr Duration kCrashDeduplicationWindow = seconds(1);
// Request bodies for which crash evidence is kept.
inline constexpr size_t kMaxSuspectBodies = 16'384;
// Backoff between platform calls after a claim write with an unknown result.
inline constexpr Duration kClaimRetryBaseDelay = milliseconds(5);
inline constexpr Duration kClaimRetryMaxDelay = milliseconds(100);
// Backoff between attempts to store outcomes and to withdraw claims.
inline constexpr Duration kClaimFinishBaseDelay = milliseconds(20);
inline constexpr Duration kClaimFinishMaxDelay = seconds(10);
inline constexpr uint32_t kMaxClaimFinishAttempts = 4096;
inline constexpr uint32_t kMaxClaimFinishesInFlight = 16;
inline constexpr size_t kMaxUnfinishedClaims = 10'000;
// Rows of a larger outcome are not stored with the claim.
inline constexpr size_t kMaxRecordedOutcomeBytes = size_t{16} * 1024;
// Period at which each instance scans its share of the claims.
inline constexpr Duration kClaimSweepPeriod = hours(1);
inline constexpr Duration kClaimCleanerPeriod = seconds(1);
// Limit of platform calls by the cleaner of one instance.
inline constexpr uint32_t kClaimCleanerCallsPerPeriod = 20;
// Number of key prefixes that the claims of a team are hashed to; the cleaner
// lists one prefix at a time.
inline constexpr uint32_t kClaimBuckets = 4096;

// --- Service-level objectives ---
inline constexpr Duration kLatencyObjective = milliseconds(82);
inline constexpr Fraction kLatencyTarget{0.99};
inline constexpr Fraction kCoverageTarget{0.999};

// --- Burn counts ---
// Period at which the aggregator of a data centre collects and stores counts.
inline constexpr Duration kBurnCollectPeriod = seconds(60);
// One-minute buckets that an instance retains until they are stored: covers a
// platform outage of six hours.
inline constexpr size_t kBurnRetainedBuckets = 360;
// Bounds the memory of the aggregator when instances send their backlog after
// an outage.
inline constexpr size_t kBurnBucketsPerResponse = 10;
inline constexpr size_t kBurnPeerCallsInFlight = 16;
// The platform rejects values above 1 MB.
inline constexpr size_t kMaxBurnValueBytes = 1'000'000;
// On shutdown an instance stores its last counts itself. Its writes can
// conflict with those of the aggregator and of other instances that shut down.
inline constexpr int kBurnHandOverAttempts = 6;
inline constexpr Duration kBurnHandOverBackoff = milliseconds(200);
inline constexpr size_t kBurnCausesPerCell = 16;
// Ages up to which counts are kept at a resolution of one minute, five minutes
// and one hour. Each exceeds the report windows computed from it by a margin.
inline constexpr Duration kBurnMinuteCellRetention = minutes(75);
inline constexpr Duration kBurnFiveMinuteCellRetention = hours(7);
inline constexpr Duration kBurnHourCellRetention = hours(74);
// If nothing could be collected from an instance for this long, its older
// counts are lost.
inline constexpr Duration kBurnWatermarkRetention = hours(6);
// Alert thresholds. At a burn rate of 14.4, one hour consumes 20 % of the error
// budget of 3 d.
inline constexpr double kPageBurnRate = 14.4;
inline constexpr double kTicketBurnRate = 1.0;
inline constexpr size_t kReportCauses = 5;
// Counts normally reach the platform within three minutes.
inline constexpr Duration kReportStalenessThreshold = minutes(10);

// --- Settings propagation and membership ---
inline constexpr uint32_t kWatchersPerDataCentre = 2;
inline constexpr Duration kDigestPeriod = milliseconds(500);
// Bounds how long a silently broken connection can delay a change; changes must
// reach all instances within 5 s.
inline constexpr Duration kWatchTimeout = seconds(2);
// Added to the watch timeout before an unanswered watch is abandoned.
inline constexpr Duration kWatchTimeoutMargin = seconds(1);
// Minimum time between two watches of one instance, so that a burst of changes
// is read in one response.
inline constexpr Duration kMinWatchInterval = milliseconds(200);
// Short, because a change accepted just after an outage must still reach all
// instances within 5 s.
inline constexpr Duration kWatchMaxBackoff = milliseconds(1500);
inline constexpr Duration kPlatformBackoff = milliseconds(200);
inline constexpr Duration kPlatformMaxBackoff = seconds(10);
// Peers that are notified of a change ahead of the periodic digests, and the
// delay before that, which batches further changes.
inline constexpr uint32_t kNotifyFanout = 3;
inline constexpr Duration kNotifyDelay = milliseconds(20);
// Minimum time between two rounds of notifications; bounds the number of
// digests sent in a burst of changes.
inline constexpr Duration kMinNotifyInterval = milliseconds(200);
// One in this many digest responses to a sender that is behind lists all
// revisions instead of only the newer ones, which repairs gaps below its
// greatest revision.
inline constexpr uint32_t kFullDigestResponsePeriod = 8;
// Entries of each kind of notice (quarantine, draining servers) in one digest.
inline constexpr size_t kMaxPeerNotices = 64;
// One in this many digest rounds calls a suspect instance, so that instances
// that suspect each other detect when they are reachable again.
inline constexpr uint32_t kSuspectProbePeriod = 4;
inline constexpr Duration kInstanceListPeriod = seconds(1);
// Bounds the traffic of one instance that reads the list: the period grows with
// the number of instances, each of which takes kListedInstanceBytes.
inline constexpr size_t kInstanceListBytesPerSecond = 4096;
inline constexpr size_t kListedInstanceBytes = 128;
// Period of the announcements of one instance. It is longer if the
// announcements of all instances together would otherwise exceed the rate
// below.
inline constexpr Duration kAnnouncePeriod = seconds(5);
inline constexpr double kMaxAnnouncementsPerSecond = 100.0;
// Consecutive failed calls after which an instance is suspect.
inline constexpr uint32_t kSuspectFailures = 2;
// A message received within this time takes precedence over the list.
inline constexpr Duration kDirectContactWindow = seconds(10);
// Consecutive lists without an instance after which it is removed.
inline constexpr uint32_t kMaxMissedLists = 3;
// Time after which a suspect that is in no recent list is removed.
inline constexpr Duration kSuspectTimeout = seconds(30);
// Replaced incarnations that are remembered, so that a late message or list
// does not bring them back.
inline constexpr size_t kMaxReplacedInstances = 4096;
// Platform calls for settings and membership per data centre and second.
inline constexpr uint32_t kPlatformCallsPerSecond = 100;
// Ids of the latest changes that are stored with a settings value.
inline constexpr uint32_t kMaxStoredChangeIds = 16;
inline constexpr size_t kMaxSettingsBytes = size_t{1024} * 1024;

// --- Calls between instances ---
inline constexpr Duration kPeerCallTimeout = milliseconds(1000);
inline constexpr Duration kPeerConnectTimeout = milliseconds(250);
inline constexpr uint32_t kPeerThreads = 2;
// Idle connections to peers that are kept open for reuse.
inline constexpr uint32_t kMaxIdlePeerConnectionsPerThread = 16;
inline constexpr uint32_t kPeerListenerThreads = 1;
inline constexpr uint32_t kMaxPeerConnections = 1024;
inline constexpr Duration kPeerIdleTimeout = seconds(30);
inline constexpr size_t kMaxQueuedPeerCalls = 256;
inline constexpr size_t kMaxPeerMessageBytes = size_t{4} * 1024 * 1024;
// Limits the settings in one pull response; further subtrees are pulled with
// the next call.
inline constexpr size_t kMaxPulledBytes = size_t{2} * 1024 * 1024;
inline constexpr uint32_t kMaxPeerMessageListLength = 10000;

// --- Platform calls ---
inline constexpr Duration kPlatformConnectTimeout = milliseconds(250);
inline constexpr Duration kPlatformCallTimeout = milliseconds(2000);
// Added to the wait time of a watch, for the response to arrive.
inline constexpr Duration kPlatformWatchTimeoutMargin = seconds(2);
// A connection that has been idle for longer is not reused.
inline constexpr Duration kPlatformIdleTimeout = seconds(5);
inline constexpr uint32_t kMaxPlatformCalls = 4096;
inline constexpr uint32_t kMaxPlatformConnections = 64;
inline constexpr size_t kMaxPlatformKeyBytes = 1024;
inline constexpr size_t kMaxPlatformValueBytes = size_t{1024} * 1024;
inline constexpr size_t kMaxPlatformResponseBytes = size_t{64} * 1024 * 1024;

// --- Shutdown ---
inline constexpr Duration kDrainNotice = seconds(5);
inline constexpr Duration kDrainLimit = seconds(60);
// Longest time that a drained instance waits for the platform before it exits.
inline constexpr Duration kHandOverTimeout = seconds(10);
inline constexpr Duration kHandOverPollPeriod = milliseconds(20);

// --- Threads and logs ---
inline constexpr uint32_t kTimerThreads = 2;
inline constexpr uint32_t kBackendThreads = 2;

// --- Sharding of state ---
inline constexpr size_t kStateShards = 16;

}  // namespace wasabihook::config

#endif  // WASABIHOOK_CONFIG_H_
