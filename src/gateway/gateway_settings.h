#ifndef SRC_GATEWAY_GATEWAY_SETTINGS_H_
#define SRC_GATEWAY_GATEWAY_SETTINGS_H_

// PRIVATE HEADER. Start file of the gateway (TOML) and the defaults of its
// limits and thresholds. docs/settings.md lists every key.

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
// A handshake takes about 6 ms where servers are slow to accept; a connection
// that is not there after a second was dropped or leads to a silent machine.
inline constexpr Duration kServerConnectTimeout = seconds(1);
// A sub-request whose connection is not there after this time goes to another
// server: nothing was handed over yet. Several times a slow handshake of 6 ms.
inline constexpr Duration kConnectFailoverDelay = milliseconds(50);
// How long the reply of an abandoned sub-request is awaited so that the
// connection can be kept. Work that nobody waits for must end within 500 ms.
inline constexpr Duration kAbandonedReplyTimeout = milliseconds(300);
// Unacknowledged data older than this breaks a connection to a server.
inline constexpr Duration kServerUserTimeout = milliseconds(1500);
// A request that must not be repeated is not sent on a connection that was idle
// for longer: the server may have dropped it.
inline constexpr Duration kMaxIdleForNonIdempotent = milliseconds(300);
// Share of the connections of a server that stays free for instances that
// arrive before those they replace have left.
inline constexpr double kServerConnectionReserve = 0.2;
inline constexpr uint32_t kMaxConnectionsPerServer = 8;
// Sub-requests of all instances that a server of an overloaded service gets at
// once, as a multiple of its slots: more would wait there for longer than an
// answer may take.
inline constexpr double kOverloadConcurrencyFactor = 5;

// --- State of backend servers ---
// Weight of the newest reply in the moving averages of a server.
inline constexpr double kServerSampleWeight = 0.2;
// A server that owes replies for longer than this many times its usual latency,
// and at least the floor, counts as stalled.
inline constexpr double kStallFactor = 4.0;
inline constexpr Duration kMinStallThreshold = milliseconds(12);
// Time between probes of a server that refuses connections or has gone silent.
inline constexpr Duration kProbeBackoff = milliseconds(250);
inline constexpr Duration kMaxProbeBackoff = seconds(2);
// Pause after another server answered at the address of this one. The registry
// removes the stale entry three heartbeats of about a second after a crash; the
// pause covers that, and ends so that a stray answer takes no server out.
inline constexpr Duration kMisdirectedPause = seconds(5);
// Time without any reply after which a busy connection counts as silent, as a
// multiple of the stall threshold, and its floor.
inline constexpr Duration kSilentTimeout = milliseconds(600);
// Cost factor of a server in another data centre: bytes between data centres
// are charged.
inline constexpr double kRemoteCostFactor = 2.0;
// Cost added for a stalled server and per share of failed replies, in units of
// the latency of a usual server.
inline constexpr double kStallCost = 50.0;
inline constexpr double kFailureCost = 20.0;
// Slowness of a server that has just started.
inline constexpr double kWarmUpCostFactor = 1.6;
// Sub-requests that may wait at a server beyond its slots.
inline constexpr uint32_t kServerQueueDepth = 4;
// How long a draining server may be used if its service has no other.
inline constexpr Duration kDrainingFallbackPeriod = milliseconds(800);
// A registry entry that is removed without a drain may have lapsed while the
// store was away; entries of live servers are back within two seconds.
inline constexpr Duration kRemovalGrace = milliseconds(600);
inline constexpr Duration kLeaseExpiryGrace = milliseconds(2300);
// Grace of a mass removal without a known outage of the store; leaves room
// within the drain bound of 3 s.
inline constexpr Duration kMassRemovalGrace = milliseconds(1300);
// Entries can lapse only if the store was away for longer than this: they live
// for three heartbeats of at least a second.
inline constexpr Duration kMinOutageForLeaseExpiry = milliseconds(2000);
// Share of the known servers removed at once from which a lapse is assumed.
inline constexpr double kMassRemovalShare = 0.25;

// --- Hedging ---
// A second replica is asked after this quantile of recent part latencies times
// the factor.
inline constexpr double kHedgeQuantile = 0.9;
inline constexpr double kHedgeFactor = 1.3;
inline constexpr Duration kMinHedgeDelay = milliseconds(4);
// Latest hedge of a part, as a share of the route's objective.
inline constexpr double kMaxHedgeShare = 0.35;
inline constexpr uint32_t kHedgeMinReplies = 40;
inline constexpr uint32_t kHedgeWindow = 2000;
// Share of the allowed repeats that is used, so that instances that count
// windows differently stay below the bound together.
inline constexpr double kRetryBudgetShare = 0.85;
// Wait before a part without capacity or budget is looked at again.
inline constexpr Duration kPartRecheckInterval = milliseconds(4);

// --- Admission ---
// Window over which the demand on a service is measured.
inline constexpr Duration kAdmissionWindow = milliseconds(500);
// A service is limited when more than this share of what was sent to it found
// no server with capacity: above the 4 % that regular pauses of 100 ms in 2.4 s
// take at full load, and above the tenth of the shards that an answer may lack.
inline constexpr double kOverloadRejectedShare = 0.12;
// At least this many, since one server's pause rejects a few.
inline constexpr uint32_t kMinOverloadRejections = 5;
// Requests after which those that were rejected are counted anew.
inline constexpr uint32_t kAdmissionSampleRequests = 40;
// Share of the limit that is left at least when it is lowered.
inline constexpr double kMinAdmissionLimitFactor = 0.5;
// Growth of the limit per tenth of the window while few are rejected, as a
// share of the limit, and at least as a share of the demand: a limit near 0,
// as after an outage of all servers, is gone within three seconds.
inline constexpr double kAdmissionGrowth = 0.05;
inline constexpr double kMinAdmissionGrowthOfDemand = 0.03;
// The limit is lifted once the demand is below this share of it.
inline constexpr double kAdmissionLiftThreshold = 0.8;
// Share of the limit that all ranks get alike, so that no rank starves; the
// rest goes to the most urgent first.
inline constexpr double kEqualPriorityShare = 0.6;

// --- Answers ---
// Time that an answer needs to reach the caller, kept free before the
// objective: the transfer, and the caller's request before it was received.
inline constexpr Duration kAnswerMargin = milliseconds(8);
// Added for the first request of a connection, whose handshake the caller
// waited for as well.
inline constexpr Duration kHandshakeMargin = milliseconds(4);
// Time in the room of requests for which no server has capacity, as a share of
// the route's objective.
inline constexpr double kMaxQueueShare = 0.2;
// Retry-After of refusals: bounds between which it is spread.
inline constexpr Duration kMinRetryAfter = milliseconds(50);
inline constexpr Duration kMaxRetryAfter = milliseconds(400);
// Callers follow a Retry-After up to a third of their remaining time.
inline constexpr double kRetryAfterShare = 0.3;
// Timeout of a request whose caller states none and whose route has none.
inline constexpr Duration kDefaultTimeout = seconds(10);

// --- Callers ---
inline constexpr int kListenBacklog = 1024;
inline constexpr Duration kCallerUserTimeout = seconds(5);
inline constexpr Duration kCallerKeepalive = seconds(5);
// Time a finished connection may take to close from the other end.
inline constexpr Duration kCloseLinger = milliseconds(500);
// Callers may reuse a connection until the idle timeout; the gateway closes it
// later than that, so that no request meets the close.
inline constexpr Duration kIdleTimeoutMargin = milliseconds(500);

// --- Store ---
inline constexpr Duration kStoreCallTimeout = milliseconds(1500);
inline constexpr Duration kStoreWatchWait = seconds(25);
// A watch that is opened while the store drops its history may hear nothing;
// the first ones after a loss are short, so that this shows within the bound of
// configurations (3 s).
inline constexpr Duration kStoreShortWatchWait = milliseconds(800);
inline constexpr uint32_t kStoreShortWatchCount = 3;
inline constexpr Duration kStoreKeepalive = seconds(1);
inline constexpr Duration kStoreUserTimeout = seconds(2);
inline constexpr Duration kStoreBackoff = milliseconds(200);
inline constexpr Duration kStoreMaxBackoff = milliseconds(1000);
// Cheap calls that show whether the store still answers while a watch waits.
inline constexpr Duration kStorePingPeriod = milliseconds(800);
inline constexpr Duration kStorePingTimeout = milliseconds(800);
// Added to the wait of a watch before it counts as lost.
inline constexpr Duration kStoreWatchGrace = milliseconds(1500);
// Lifetime of the entry that an instance registers, the longest that the store
// grants, and the time after which it is renewed.
inline constexpr Duration kInstanceLease = seconds(600);
inline constexpr Duration kInstanceRenewal = seconds(200);
// An instance whose entry is gone still counts for this time: a store that
// revokes leases does not end the instances.
inline constexpr Duration kInstanceRemovalGrace = seconds(120);
// Time over which instances whose entries were revoked register again.
inline constexpr Duration kRegistrationJitter = seconds(2);
// A restarted instance whose entry still stands renews it after this time.
inline constexpr Duration kInstanceTakeoverRenewal = seconds(60);

// --- Changes passed on between instances ---
// An instance without news answers after this time, so that the other end
// knows it is alive.
inline constexpr Duration kFeedWait = milliseconds(1000);
inline constexpr Duration kFeedTimeout = milliseconds(1600);
// Time for which an instance that failed is not followed; doubles up to the
// second value while it goes on failing.
inline constexpr Duration kFeedRetryDelay = seconds(3);
inline constexpr Duration kFeedMaxRetryDelay = seconds(60);
// Time for which an instance whose own watch fails follows another data centre
// before it tries the store again.
inline constexpr Duration kStoreRetryDelay = seconds(2);
// Period at which an instance with a watch of its own compares revisions with
// another data centre, and the wait of its watch if there is none.
inline constexpr Duration kRevisionCheckPeriod = milliseconds(250);
inline constexpr Duration kUncheckedWatchWait = milliseconds(1500);
// Instances that follow one instance; bounds what it sends. Eight children
// make three levels for a data centre of 450 instances.
inline constexpr uint32_t kMaxFeedFollowers = 8;
// Instances that are tried before the store is watched directly.
inline constexpr uint32_t kMaxFeedCandidates = 2;
// Changes kept for instances that are behind.
inline constexpr size_t kFeedHistoryLength = 2000;

// --- Logs ---
// Lines per second and burst of one event; more are counted and dropped.
inline constexpr double kLogLinesPerSecond = 100;
inline constexpr double kLogBurst = 200;

// Service levels that the platform asks for.
struct ServiceBounds {
  // Repeats per request that a service may get in a window, and their slack;
  // over all instances.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  Duration retry_window = seconds(10);
  // After this time a draining server must get no request.
  Duration drain = seconds(3);
  // After this time an accepted configuration must be in force.
  Duration config_apply = seconds(3);
  // Time between SIGTERM and SIGKILL.
  Duration grace = seconds(6);
};

struct GatewaySettings {
  InstanceId instance;
  DataCentreId data_centre;
  std::string caller_address;
  std::string readiness_address;
  // Empty: metrics are not served.
  std::string metrics_address;
  // For other instances; empty: no changes are passed on.
  std::string feed_address;
  std::string store_address;
  ServiceBounds bounds;
};

// All problems of a start file, one line each.
class GatewaySettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws GatewaySettingsError. `source` names the file in problems.
GatewaySettings ParseGatewaySettings(std::string_view text,
                                     const std::string& source);
GatewaySettings LoadGatewaySettings(const std::string& path);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_GATEWAY_SETTINGS_H_
