#ifndef SRC_GATEWAY_GATEWAY_SETTINGS_H_
#define SRC_GATEWAY_GATEWAY_SETTINGS_H_

// PRIVATE HEADER. Startup configuration file of the gateway (TOML), and the
// constants for its limits and thresholds. docs/settings.md lists every key.

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "wasabihook/config.h"
#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

using std::chrono::milliseconds;
using std::chrono::seconds;

// --- Connections to backend servers ---
// Connect timeout. A handshake with a server that is slow to accept takes about
// 6 ms; after a second, the packets were dropped or the machine does not
// respond.
inline constexpr Duration kServerConnectTimeout = seconds(1);
// A sub-request whose connection is not established after this time is sent to
// another server, which is safe since nothing was written yet. Several times a
// slow handshake of 6 ms.
inline constexpr Duration kConnectFailoverDelay = milliseconds(50);
// Time to wait for the reply to an abandoned sub-request, so that its
// connection can be reused. Abandoned work must end within 500 ms.
inline constexpr Duration kAbandonedReplyTimeout = milliseconds(300);
// TCP_USER_TIMEOUT of connections to servers: data that stays unacknowledged
// for longer breaks the connection.
inline constexpr Duration kServerUserTimeout = milliseconds(1500);
// A request that must not be repeated is not sent on a connection that was idle
// for longer: the server may have closed it.
inline constexpr Duration kMaxIdleForNonIdempotent = milliseconds(300);
// Share of a server's connections that is reserved for new instances that start
// before the instances they replace have stopped.
inline constexpr double kServerConnectionReserve = 0.2;
inline constexpr uint32_t kMaxConnectionsPerServer = 8;
// Outstanding sub-requests of all instances at a server of an overloaded
// service, as a multiple of its slots. Any more would queue there for longer
// than an answer may take.
inline constexpr double kOverloadConcurrencyFactor = 5;

// Connections opened ahead of requests: number in each sweep of 50 ms, and the
// interval between two to the same server, which doubles up to the maximum if
// the server keeps closing them.
inline constexpr size_t kWarmConnectionsPerStep = 4;
inline constexpr Duration kMinWarmInterval = seconds(8);
inline constexpr Duration kMaxWarmInterval = seconds(60);
// Time for which the number of instances must not have changed before
// connections are opened ahead: the share of a server's connections follows
// from it, and instances that start together find each other within a second.
inline constexpr Duration kWarmUpDelay = seconds(2);
// Bounds on what a server may send, so that bytes without end cannot exhaust
// the memory of the smallest machine (160 MB): the head of a reply with its
// trailer, its body, the messages before it that are not the reply, and the
// memory of the incomplete replies of all connections together.
inline constexpr size_t kMaxReplyHeadBytes = size_t{64} * 1024;
inline constexpr size_t kMaxReplyBodyBytes = size_t{8} * 1024 * 1024;
inline constexpr size_t kMaxSkippedReplyBytes = size_t{256} * 1024;
inline constexpr size_t kMaxBufferedReplyBytes = size_t{32} * 1024 * 1024;
// Bound on a reply of the store or of another instance. The store returns about
// 1 MB in a page; the events of a watch may be more.
inline constexpr size_t kMaxStoreReplyBytes = size_t{32} * 1024 * 1024;
// An attempt that is not connected this long after it was made is not sent any
// more, even if the connection is established then. Exceeds
// kConnectFailoverDelay, so it matters only if the process was suspended.
inline constexpr Duration kMaxUnsentAge = milliseconds(200);

// --- State of backend servers ---
// Weight of the newest reply in the moving averages of a server.
inline constexpr double kServerSampleWeight = 0.2;
// Time without a reply in which the share of a server's failures halves.
inline constexpr Duration kFailureHalfLife = seconds(5);
// A server is stalled if it has unanswered requests and sent no reply for this
// multiple of the median latency, and at least for the minimum.
inline constexpr double kStallFactor = 4.0;
inline constexpr Duration kMinStallThreshold = milliseconds(12);
// Backoff between probes of a server that refuses connections or does not
// reply: initial and maximum value.
inline constexpr Duration kProbeBackoff = milliseconds(250);
inline constexpr Duration kMaxProbeBackoff = seconds(2);
// Time for which a server gets no requests after another server answered at its
// address. The registry removes a stale entry three heartbeats of about a
// second after a crash, which this time covers. It is bounded so that one wrong
// answer does not disable a server permanently.
inline constexpr Duration kMisdirectedPause = seconds(5);
// A server is marked as unreachable if an abandoned sub-request times out and
// the server sent no reply for this time.
inline constexpr Duration kSilentTimeout = milliseconds(600);
// Cost factor of a server in another data centre, since traffic between data
// centres is charged.
inline constexpr double kRemoteCostFactor = 2.0;
// Costs added for a stalled server and for the squared share of failed replies,
// in units of the median latency.
inline constexpr double kStallCost = 50.0;
inline constexpr double kFailureCost = 20.0;
// Cost factor of a server that is still warming up.
inline constexpr double kWarmUpCostFactor = 1.6;
// Outstanding sub-requests that this instance may have at a server beyond its
// slots.
inline constexpr uint32_t kServerQueueDepth = 4;
// Time for which a draining server is still used if its service has no other.
inline constexpr Duration kDrainingFallbackPeriod = milliseconds(800);
// Time for which it is remembered that a server said it leaves, and number of
// such servers: that of the largest fleet. Servers go on for the time bound for
// drains and some seconds; a copy of the store is seconds old.
inline constexpr Duration kLeavingServerMemory = seconds(600);
inline constexpr size_t kMaxLeavingServers = 32'768;
// Longest pause that a server can ask for, so that a wrong value does not take
// it out for hours. Above what a server needs to work off its queue.
inline constexpr Duration kMaxServerPause = seconds(60);
// After a pause a server gets this share of its usual requests at first, and
// all of them after the recovery time. The end is put off by a random part of
// the pause, so that the instances don't return at the same moment.
inline constexpr double kFirstShareAfterPause = 0.25;
inline constexpr Duration kPauseRecovery = seconds(1);
inline constexpr double kPauseJitterShare = 0.1;
// Grace periods before the removal of a server whose entry disappeared without
// a drain: in general, and after an outage of the store, during which leases
// may have expired. Entries of live servers are back within two seconds.
inline constexpr Duration kRemovalGrace = milliseconds(600);
inline constexpr Duration kLeaseExpiryGrace = milliseconds(2300);
// Grace period of a mass removal without a known outage of the store. Stays
// well below the drain bound of 3 s.
inline constexpr Duration kMassRemovalGrace = milliseconds(1300);
// Leases can expire only in an outage of the store of at least this length:
// they last for three heartbeats of at least a second.
inline constexpr Duration kMinOutageForLeaseExpiry = milliseconds(2000);
// Time for which it is remembered what a server that left said last, and number
// of such servers. Copies that the store is restored from are seconds old.
inline constexpr Duration kDepartedServerMemory = seconds(120);
inline constexpr size_t kMaxDepartedServers = 4096;
// Share of the known servers that counts as a mass removal if it is exceeded by
// the pending removals. Expired leases are the assumed cause.
inline constexpr double kMassRemovalShare = 0.25;

// --- Observations shared between instances ---
// Sliding window of an instance's observations, period of their exchange, and
// time after which what was received is dropped.
inline constexpr Duration kObservationWindow = seconds(2);
inline constexpr Duration kObservationPeriod = milliseconds(600);
inline constexpr Duration kObservationExpiry = milliseconds(2000);
// Time for which a crash or a limit is sent to other instances after it became
// known here. Several periods of the exchange, so that a lost call loses
// nothing.
inline constexpr Duration kFleetNewsTime = seconds(3);
// Observations of one server that one instance contributes at most.
inline constexpr uint16_t kMaxObservationsPerInstance = 8;
// A server is an outlier if this many instances saw it slow or failing, in this
// many observations, which are this share of all.
inline constexpr uint8_t kMinOutlierVoters = 3;
inline constexpr uint16_t kMinOutlierObservations = 4;
inline constexpr double kOutlierShare = 0.5;
// A reply is slow if it took this multiple of the route's median latency.
inline constexpr double kSlowReplyFactor = 2.0;
// Cost added for an outlier: above that of a server outside the subset, below
// that of a stalled one.
inline constexpr double kOutlierCost = 10.0;
// Time for which a good reply to this instance outweighs the fleet's view.
inline constexpr Duration kOwnObservationPeriod = seconds(1);

// --- What servers take well ---
// Sliding window of the latencies that an instance passes on, and time after
// which the view of the fleet no longer counts. Replies that a view needs.
inline constexpr Duration kPaceWindow = seconds(2);
inline constexpr Duration kPaceExpiry = milliseconds(2500);
inline constexpr uint32_t kMinPaceReplies = 4;
// Replies at which the view of the fleet and that of this instance weigh the
// same.
inline constexpr double kOwnPaceReplies = 4;
// Factor by which an estimate improves at most in one exchange, and bounds of
// one sample: a stall must not outweigh a hundred normal replies.
inline constexpr double kPaceRecovery = 0.8;
inline constexpr double kMinPace = 0.2;
inline constexpr double kMaxPace = 20;
// Servers in one message.
inline constexpr size_t kMaxPacesInMessage = 2048;
// A server of the same data centre whose cost is below this multiple of the
// lowest one is chosen with a probability in proportion to the inverse square
// of its cost, so that the instances don't all choose the same one.
inline constexpr double kPaceChoiceFactor = 1.8;

// --- Evacuations ---
// Time in which operators write again what a restored store lacks.
inline constexpr Duration kEvacuationRewriteTime = seconds(5);

// --- Requests that crash servers ---
// A request is quarantined once this many starts of servers have ended under
// it, in the attempts of this many callers or repetitions, and the crashes are
// spread over at least the span. Servers lost to one cause end within it.
inline constexpr size_t kMinCrashedServers = 3;
inline constexpr size_t kMinCrashingAttempts = 3;
inline constexpr Duration kMinCrashSpan = milliseconds(300);
// Answers of a service that outweigh one crash of it. A bystander is in flight
// at servers that end for a small share of its runs, even while another request
// crashes them.
inline constexpr size_t kAnswersPerCrash = 3;
// Crashes remembered of one request, and of one attempt of its callers, answers
// remembered beside them, and requests remembered.
inline constexpr size_t kMaxCrashesKept = 8;
inline constexpr size_t kMaxCrashesKeptOfAttempt = 2;
inline constexpr size_t kMaxSurvivalsKept = kAnswersPerCrash * kMaxCrashesKept;
inline constexpr size_t kMaxSuspectRequests = 1024;
inline constexpr size_t kMaxQuarantinedRequests = 1024;
// Suspects in one message to another instance.
inline constexpr size_t kMaxSuspectsInMessage = 128;
inline constexpr Duration kCrashEvidenceExpiry = std::chrono::minutes(2);
// Time in which the end of a server has to be confirmed after a connection has
// ended under a request: the registry removes a crashed server after three
// heartbeats of about a second. Losses that wait for it.
inline constexpr Duration kCrashConfirmationTime = seconds(10);
inline constexpr size_t kMaxUnconfirmedLosses = 1024;
// Servers of this many services that are lost within the window raise the crash
// alert, which lasts until they are back, and at most for its time. Servers
// come back within some seconds.
inline constexpr size_t kMinCrashedServices = 3;
inline constexpr Duration kCrashAlertWindow = milliseconds(200);
inline constexpr Duration kCrashAlertTime = seconds(10);
// An idle connection that ends within this time of its last reply ends with its
// server. Idle timeouts of servers are whole seconds.
inline constexpr Duration kMaxIdleOfLostServer = milliseconds(800);
// A query under which this many servers have ended, and that has no reply, is
// not sent to others and gives up those that still run it.
inline constexpr uint32_t kMinContainedCrashes = 2;
// Time in which the probe that follows a loss shows whether the server has
// ended. Several times a slow handshake of 6 ms.
inline constexpr Duration kLossResolutionTime = milliseconds(60);
// A canary that is not answered in this time is joined by one at another shard.
// Above the pauses that servers make.
inline constexpr Duration kCanaryTimeout = milliseconds(200);
// A query that no server has answered lately is sent to this many servers
// first, of different shards, so that the pause of one does not delay it.
inline constexpr uint32_t kRoutineCanaries = 2;
// Share of the objective that the median latency of a shard, and so the wait
// for the first canary, may take, and share after which late canaries are
// joined by another.
inline constexpr double kMaxCanaryShare = 0.25;
inline constexpr double kRoutineCanaryTimeoutShare = 0.3;
// Delay of an exchange that is due to a crash; collects the crashes of one
// moment.
inline constexpr Duration kEarlyExchangeDelay = milliseconds(50);
// Longest random delay before a verdict is written to the store.
inline constexpr Duration kQuarantinePublishJitter = milliseconds(300);

// --- Limits that servers name ---
// Time for which the share of an instance accumulates, if it makes up more than
// one request.
inline constexpr Duration kLimitBurstTime = milliseconds(250);
// Below this share of one instance, in requests per second, a limit is not
// divided by a token bucket, which would waste what instances save up while
// they have no request. Each request is then sent with a probability: this
// share of the limit over the demand of the fleet. A server may get 1.5 times
// its limit, which a threefold spike stays within before its demand is known.
inline constexpr double kMinBucketRate = 0.1;
inline constexpr double kThinLimitShare = 0.5;
// Sliding window over which the demand on such a server is measured.
inline constexpr Duration kDemandWindow = milliseconds(800);
// Weight of the newest value in its moving average, and the multiple of the
// average from which the newest value counts instead.
inline constexpr double kDemandWeight = 0.25;
inline constexpr double kDemandSpikeFactor = 1.5;
// Time after its registration in which an instance finds those that start with
// it: they start within a second, and a change takes less than a second to the
// last level of the feed. Before it has read the store after that time, it
// assumes a fleet of at least this many, above the largest that is planned.
inline constexpr Duration kFleetDiscoveryTime = seconds(3);
inline constexpr uint32_t kUnknownFleetSize = 3000;
// Requests per second that a server gets at least, so that an answer of it
// shows when its limit ends.
inline constexpr double kMinServerLimit = 0.2;
// A limit is dropped if no instance heard the server for this time, and sent to
// other instances again at this interval while it holds.
inline constexpr Duration kLimitExpiry = seconds(60);
inline constexpr Duration kLimitRefresh = seconds(15);
// Bounds of memory and of a message: the servers of the largest fleet.
inline constexpr size_t kMaxServerLimits = 32'768;
inline constexpr size_t kMaxLimitsInMessage = 1024;

// --- Hedging ---
// A part is hedged after this quantile of the recent part latencies, times the
// factor.
inline constexpr double kHedgeQuantile = 0.9;
inline constexpr double kHedgeFactor = 1.3;
inline constexpr Duration kMinHedgeDelay = milliseconds(4);
// Upper bound of the hedge delay, as a share of the route's objective.
inline constexpr double kMaxHedgeDelayShare = 0.35;
inline constexpr uint32_t kHedgeMinReplies = 40;
inline constexpr uint32_t kHedgeWindow = 2000;
// Share of the allowed repeats that is used. The windows of the instances are
// not aligned; the margin keeps their sum below the bound.
inline constexpr double kRetryBudgetShare = 0.85;
// Interval at which a part without capacity or retry budget is checked again.
inline constexpr Duration kPartRecheckInterval = milliseconds(4);

// --- Admission ---
// Sliding window over which the demand on a service is measured.
inline constexpr Duration kAdmissionWindow = milliseconds(500);
// A service is limited if more than this share of its admitted requests found
// no server with capacity. Above the 4 % that regular pauses of 100 ms in 2.4 s
// cause at full load, and above the tenth of the shards that an answer may
// lack.
inline constexpr double kOverloadRejectedShare = 0.12;
// Minimum number of such rejections, since the pause of a single server causes
// a few.
inline constexpr uint32_t kMinOverloadRejections = 5;
// Admitted requests after which the counts are reset.
inline constexpr uint32_t kAdmissionSampleRequests = 40;
// Lower bound of the factor by which the limit is lowered in one step.
inline constexpr double kMinAdmissionLimitFactor = 0.5;
// Growth of the limit per tenth of the window while few requests are rejected:
// a share of the limit, and at least a share of the demand. The latter removes
// a limit near 0, as after an outage of all servers, within three seconds.
inline constexpr double kAdmissionGrowth = 0.05;
inline constexpr double kMinAdmissionGrowthOfDemand = 0.03;
// The limit is lifted when the demand falls below this share of it.
inline constexpr double kAdmissionLiftThreshold = 0.8;
// Share of the limit that is divided among all priorities in proportion to
// their demand, so that none starves. The rest is given out in order of
// priority.
inline constexpr double kEqualPriorityShare = 0.6;

// Sliding window over which the demand of teams is measured, teams in one
// message, and the smallest share of a team in what a service admits.
inline constexpr Duration kTeamDemandWindow = seconds(1);
inline constexpr size_t kMaxTeamsInMessage = 1024;
inline constexpr double kMinTeamShare = 0.3;

// --- Answers ---
// Time before the objective at which the answer is sent. Covers the transfer of
// the answer, and that of the request before it was received.
inline constexpr Duration kAnswerMargin = milliseconds(8);
// Expected time by which an answer leaves later than planned, before it was
// measured; steps of the estimate, which is a quantile of 0.9, and its bound.
inline constexpr Duration kInitialAnswerLateness = milliseconds(2);
inline constexpr Duration kLatenessStep = std::chrono::microseconds(200);
inline constexpr int64_t kLatenessStepRatio = 9;
inline constexpr Duration kMaxAnswerLateness = milliseconds(20);
// Time that this instance does not see: until it has read a request that has
// arrived, and until the last byte of an answer has arrived.
inline constexpr Duration kAnswerTransferTime = milliseconds(3);
// Longest margin that follows from a measured round trip, as a share of the
// objective. Beyond it, answers would lack too many parts.
inline constexpr double kMaxAnswerMarginShare = 0.35;
// Added for the first request on a connection, since the caller also waited for
// the handshake; if its round trip is not known.
inline constexpr Duration kHandshakeMargin = milliseconds(4);
// Maximum time that a part waits for a server with capacity, as a share of the
// route's objective.
inline constexpr double kMaxQueueShare = 0.2;
// Bounds of the random Retry-After of rejected requests.
inline constexpr Duration kMinRetryAfter = milliseconds(50);
inline constexpr Duration kMaxRetryAfter = milliseconds(400);
// Upper bound of Retry-After as a share of the caller's remaining time. Callers
// honour it up to a third of that time.
inline constexpr double kRetryAfterShare = 0.3;
// Retry-After of requests that a draining instance rejects; another instance
// takes the next attempt.
inline constexpr const char* kDrainRetryAfterSeconds = "0.050";
// Longest remaining time that is accepted from a caller.
inline constexpr Duration kMaxCallerTimeout = std::chrono::hours(1);
// Timeout of requests on a route without one.
inline constexpr Duration kDefaultTimeout = seconds(10);

// --- Callers ---
// Share of the memory that the requests and answers of all callers have
// together; half of it while requests are being served. On the smallest machine
// (160 MB) that is 160 requests of the largest size.
inline constexpr double kCallerMemoryShare = 0.25;
// Descriptors that are kept for files; callers get half of the others, and at
// least the minimum.
inline constexpr size_t kReservedDescriptors = 200;
inline constexpr size_t kMinCallerConnections = 16;
// Share of the connections whose requests are served at the same time, before
// those of a source that has half of them are rejected.
inline constexpr double kServedConnectionShare = 0.75;
// Memory and descriptors of a process whose settings don't state them.
inline constexpr size_t kDefaultMemoryMb = 160;
inline constexpr size_t kDefaultMaxDescriptors = 4096;
// Largest body of a request for readiness or metrics.
inline constexpr size_t kMaxProbeBodyBytes = 1024;
// Memory of one shard's part of a query, beside the reply; all queries in
// flight have the same share of the memory as requests.
inline constexpr size_t kPartBytes = 1024;
// A body of at least this size is not copied for each shard.
inline constexpr size_t kMinSharedBodyBytes = size_t{4} * 1024;
inline constexpr int kListenBacklog = 1024;
inline constexpr Duration kCallerUserTimeout = seconds(5);
inline constexpr Duration kCallerKeepalive = seconds(5);
// Time to wait for the caller to close a connection that the gateway has
// finished.
inline constexpr Duration kCloseLinger = milliseconds(500);
// While the instance drains, a connection without a request stays open for this
// time after it was accepted: its first request may be on the way.
inline constexpr Duration kNewConnectionGrace = milliseconds(300);
// Added to the idle timeout, until which callers may reuse a connection.
// Closing it later prevents a request from racing with the close.
inline constexpr Duration kIdleTimeoutMargin = milliseconds(500);

// --- Teams ---
// Bounds of a configuration, so that a wrong one cannot exhaust the memory of
// the smallest machine. A value of the store has 1 MB at most.
inline constexpr size_t kMaxTeams = 16'384;
inline constexpr size_t kMaxApiKeys = 32'768;
// Largest rate and burst of a team; above what the largest fleet serves.
inline constexpr double kMaxAllowance = 1e9;
// Share of the tolerance of an allowance that its ledgers give out, since
// requests reach a ledger and the servers at different times. The rest covers
// what is admitted without a ledger, and what ledgers without a past give out.
inline constexpr double kAllowanceToleranceShare = 0.35;
// Requests that the ledgers of all portions give out at once if they have no
// past: at least this many, and at least this share of the capacity.
inline constexpr double kFreshLedgerTokens = 2;
inline constexpr double kFreshLedgerShare = 0.3;
// Instances ask a ledger first from when it falls below the first share of its
// capacity until it is above the second one.
inline constexpr double kAllowanceLowWaterShare = 0.5;
inline constexpr double kAllowanceHighWaterShare = 0.8;
// Share of the tolerance that all instances together may admit in a window
// without asking a ledger that does not answer.
inline constexpr double kAllowanceAloneShare = 0.1;
// Admitted requests of a team that an instance has not reported, after which it
// asks first.
inline constexpr uint32_t kMaxUnconfirmedAdmissions = 3;
// Largest number of portions of an allowance, each at another instance. The
// loss of an instance takes one of them; more portions cost more calls.
inline constexpr size_t kAllowancePortions = 8;
// Time for which an instance that joins the fleet has no portion: so long
// another one may not have learned that the portion is no longer its own.
inline constexpr Duration kAllowancePortionHandover = seconds(10);
// Time between transfers of tokens to a ledger that runs short, and the least
// number of tokens for which the others are asked.
inline constexpr Duration kAllowanceTransferPeriod = milliseconds(200);
inline constexpr double kMinAllowanceTransfer = 1;
// Share of its tokens that a ledger hands over while it grants requests itself.
inline constexpr double kAllowanceGivenShare = 0.5;
// Time after which an unused connection for transfers is closed.
inline constexpr Duration kAllowanceConnectionExpiry = seconds(10);
// Longest wait that Retry-After states for an allowance, in seconds, and the
// shortest time over which returning callers are spread.
inline constexpr double kMaxAllowanceWait = 5;
inline constexpr Duration kMinAllowanceSpread = milliseconds(200);
// Timeout of a call to the owner of a ledger, and time for which a request
// waits for its reply before the instance decides alone. A busy instance on a
// tenth of a core takes some 30 ms to answer.
inline constexpr Duration kAllowanceCallTimeout = milliseconds(250);
inline constexpr Duration kAllowanceHold = milliseconds(40);
// Time for which an owner that did not answer is passed over; doubles up to the
// maximum. Number of owners to try.
inline constexpr Duration kAllowanceRetryDelay = seconds(1);
inline constexpr Duration kAllowanceMaxRetryDelay = seconds(8);
inline constexpr size_t kAllowanceOwners = 3;
// Delay of a report that no request waits for; collects those of one moment.
inline constexpr Duration kAllowanceReportDelay = milliseconds(5);
// Teams in one message that are near the end of their allowances.
inline constexpr size_t kMaxMarksInMessage = 1024;
// Claims in one call, and time after which an unused account is forgotten.
inline constexpr size_t kMaxClaimsInCall = 256;
inline constexpr Duration kAllowanceAccountExpiry = seconds(60);

// --- Store ---
inline constexpr Duration kStoreCallTimeout = milliseconds(1500);
inline constexpr Duration kStoreWatchWait = seconds(25);
// A watch that is opened while the store discards its history may get no
// events. The first watches after a loss of the store are short, so that this
// is detected within the time bound for applying a configuration (3 s).
inline constexpr Duration kStoreShortWatchWait = milliseconds(800);
inline constexpr uint32_t kStoreShortWatchCount = 3;
inline constexpr Duration kStoreKeepalive = seconds(1);
inline constexpr Duration kStoreUserTimeout = seconds(2);
inline constexpr Duration kStoreBackoff = milliseconds(200);
inline constexpr Duration kStoreMaxBackoff = milliseconds(1000);
// Period and timeout of the pings that check the store while a watch waits.
inline constexpr Duration kStorePingPeriod = milliseconds(800);
inline constexpr Duration kStorePingTimeout = milliseconds(800);
// Added to the wait time of a watch to get the timeout of its call.
inline constexpr Duration kStoreWatchGrace = milliseconds(1500);
// Longest entry of a server, an instance or a quarantined request. Those that
// are written by the platform and by instances have a few hundred bytes.
inline constexpr size_t kMaxEntryBytes = size_t{16} * 1024;
// Lease of the entry that an instance registers, the longest that the store
// grants, and the interval at which it is renewed.
inline constexpr Duration kInstanceLease = seconds(600);
inline constexpr Duration kInstanceRenewal = seconds(200);
// Time for which an instance still counts after its entry was removed, since a
// store that revokes leases does not stop the instances.
inline constexpr Duration kInstanceRemovalGrace = seconds(120);
// Maximum random delay before an instance whose entry was revoked registers
// again.
inline constexpr Duration kRegistrationJitter = seconds(2);
// Maximum random delay before the entry of an instance is written again after
// the store was restored from an older copy.
inline constexpr Duration kRestoredWriteJitter = milliseconds(300);
// Delay before a restarted instance replaces the entry of its predecessor, if
// that still exists.
inline constexpr Duration kInstanceTakeoverRenewal = seconds(60);

// --- Changes forwarded between instances ---
// Longest time that a feed request waits for changes. It is then answered
// without any, which shows that the instance is alive.
inline constexpr Duration kFeedWait = milliseconds(1000);
inline constexpr Duration kFeedTimeout = milliseconds(1600);
// Time for which an instance is not followed after a failure. Doubles with each
// further failure, up to the maximum.
inline constexpr Duration kFeedRetryDelay = seconds(3);
inline constexpr Duration kFeedMaxRetryDelay = seconds(60);
// Time for which an instance whose own watch failed follows an instance of
// another data centre before it tries the store again.
inline constexpr Duration kStoreRetryDelay = seconds(2);
// Period at which an instance that watches the store itself compares its
// revision with another data centre, and the wait time of its watch if there is
// no other data centre to compare with.
inline constexpr Duration kRevisionCheckPeriod = milliseconds(250);
inline constexpr Duration kUncheckedWatchWait = milliseconds(1500);
// Maximum number of instances that follow one instance; bounds what it sends.
// Eight followers result in three levels for a data centre of 450 instances.
inline constexpr uint32_t kMaxFeedFollowers = 8;
// Number of instances to try before watching the store directly.
inline constexpr uint32_t kMaxFeedCandidates = 2;
// Number of removed keys that are remembered for instances that lag behind.
inline constexpr size_t kMaxFeedRemovals = 2000;

// --- Logs ---
// Rate limit and burst of the log lines of one event. Excess lines are dropped
// and counted.
inline constexpr double kLogLinesPerSecond = 100;
inline constexpr double kLogBurst = 200;

// Limits that the platform requires the gateway to keep.
struct ServiceBounds {
  // Repeats (hedges and retries) that a service may get from all instances in a
  // window: a ratio of the first attempts, plus a fixed slack.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  Duration retry_window = seconds(10);
  // Time after which a draining server must get no more requests.
  Duration drain = seconds(3);
  // Time after which an accepted configuration must be in force.
  Duration config_apply = seconds(3);
  // Time between SIGTERM and SIGKILL.
  Duration grace = seconds(6);
  // Tolerance of the allowances of teams: in each window, servers may run this
  // share more than an allowance permits, plus a fixed slack.
  Duration allowance_window = seconds(5);
  double allowance_overage = 0.1;
  double allowance_slack = 20;
};

struct GatewaySettings {
  InstanceId instance;
  DataCentreId data_centre;
  std::string caller_address;
  std::string readiness_address;
  // Metrics are not served if empty.
  std::string metrics_address;
  // Address of the feed for other instances. No changes are forwarded if empty.
  std::string feed_address;
  std::string store_address;
  // Of the machine; the process ends beyond them.
  size_t memory_mb = kDefaultMemoryMb;
  size_t max_descriptors = kDefaultMaxDescriptors;
  // Instances share how long the replies of each server take.
  bool learns_capacity = false;
  ServiceBounds bounds;
};

// Lists all problems of a startup configuration file, one on each line.
class GatewaySettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses a startup configuration file. `source` names the file in error
// messages. Throws GatewaySettingsError.
GatewaySettings ParseGatewaySettings(std::string_view text,
                                     const std::string& source);
GatewaySettings LoadGatewaySettings(const std::string& path);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_GATEWAY_SETTINGS_H_
