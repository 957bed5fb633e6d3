#ifndef WASABIHOOK_SETTINGS_H_
#define WASABIHOOK_SETTINGS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wasabihook/config.h"
#include "wasabihook/ids.h"
#include "wasabihook/snapshot.h"
#include "wasabihook/units.h"

namespace wasabihook {

// When a search answers if some shard groups are late.
enum class CoveragePolicy : uint8_t {
  kEarly,  // At the soft deadline, once the least coverage is met.
  kWait,   // At complete coverage, or at the deadline.
};

enum class ReplicaChoice : uint8_t {
  kRandom,              // Baseline for experiments.
  kLeastOutstanding,    // Least outstanding of two random replicas.
  kLatencyOutstanding,  // (outstanding + 1) x latency estimate, of two.
};

// Settings of one team, parsed from the TOML subtree `teams/<team>`.
struct TeamSettings {
  TeamId team;
  Revision revision;

  // Deadlines.
  Duration default_deadline = config::kDefaultDeadline;
  Duration max_deadline = config::kMaxDeadline;
  Duration soft_deadline = config::kSoftDeadline;

  // Coverage.
  CoveragePolicy coverage_policy = CoveragePolicy::kWait;
  Fraction least_coverage = config::kDefaultMinCoverage;

  // Routing, hedging and retries.
  ReplicaChoice replica_choice = ReplicaChoice::kLatencyOutstanding;
  bool hedging = true;
  // Fraction of sub-requests that may be hedges or retries.
  Fraction extra_load_budget = config::kExtraLoadBudget;
  uint32_t max_attempts = config::kMaxAttempts;
  bool outlier_ejection = true;
  // Sends one sub-request first and fans out after its reply.
  bool canary = false;

  // Limits.
  bool admission_control = true;
  // Relative share of a backend pool when teams compete.
  uint32_t fair_share_weight = config::kDefaultTeamWeight;
  uint32_t max_queued = config::kMaxQueuedPerTeam;

  // Operations.
  Duration claim_retention = config::kClaimRetention;
  Duration quarantine_expiry = config::kQuarantineExpiry;

  // Service-level objectives.
  Duration latency_objective = config::kLatencyObjective;
  Fraction latency_target = config::kLatencyTarget;
  Fraction coverage_target = config::kCoverageTarget;

  std::map<IndexSetId, SnapshotPtr> index_sets;
};

using TeamSettingsPtr = std::shared_ptr<const TeamSettings>;

// Settings of the whole deployment, parsed from the TOML subtree `fleet`.
struct FleetSettings {
  Revision revision;

  // Propagation of settings and membership.
  uint32_t watchers_per_data_centre = config::kWatchersPerDataCentre;
  Duration digest_period = config::kDigestPeriod;
  Duration watch_timeout = config::kWatchTimeout;
  Duration instance_list_period = config::kInstanceListPeriod;
  // Limit of the calls to the platform for settings and membership, for all
  // instances of one data centre together.
  uint32_t platform_calls_per_second = config::kPlatformCallsPerSecond;

  // Shutdown.
  Duration drain_notice = config::kDrainNotice;
  Duration drain_limit = config::kDrainLimit;
};

using FleetSettingsPtr = std::shared_ptr<const FleetSettings>;

// Read access to the settings in force. Thread-safe.
class SettingsView {
 public:
  virtual ~SettingsView() = default;
  // Returns null for an unknown team.
  virtual TeamSettingsPtr Team(const TeamId& team) const = 0;
};

}  // namespace wasabihook

#endif  // WASABIHOOK_SETTINGS_H_
