#include "decision/burn/burn_cell.h"

#include <algorithm>
#include <utility>

namespace wasabihook {
namespace {

BurnCause CauseOfError(BurnObjective objective, ErrorCode code) {
  switch (code) {
    case ErrorCode::kQuarantined:
      return {objective, BurnCauseKind::kQuarantine, ""};
    case ErrorCode::kOverloaded:
    case ErrorCode::kDeadlineTooShort:
    case ErrorCode::kPlatformUnavailable:
    case ErrorCode::kShuttingDown:
    case ErrorCode::kNoSettings:
      return {objective, BurnCauseKind::kRefused, ToString(code)};
    default:
      return {objective, BurnCauseKind::kError, ToString(code)};
  }
}

void LimitCauses(std::map<BurnCause, uint64_t>& causes) {
  if (causes.size() <= config::kBurnCausesPerCell) {
    return;
  }
  std::vector<std::pair<uint64_t, BurnCause>> by_count;
  for (const auto& [cause, count] : causes) {
    by_count.emplace_back(count, cause);
  }
  std::sort(by_count.begin(), by_count.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  // Two entries are reserved for kOther, one per objective.
  const size_t kept = config::kBurnCausesPerCell - 2;
  for (size_t i = kept; i < by_count.size(); ++i) {
    const auto& [count, cause] = by_count[i];
    if (cause.kind != BurnCauseKind::kOther) {
      causes.erase(cause);
      causes[{cause.objective, BurnCauseKind::kOther, ""}] += count;
    }
  }
}

void AddLatencyCause(const RequestOutcome& outcome, BurnCell& cell) {
  BurnCause cause;
  if (outcome.slowest_server) {
    cause.kind = BurnCauseKind::kStraggler;
    cause.detail = outcome.slowest_server->value();
  } else if (outcome.error) {
    cause = CauseOfError(BurnObjective::kLatency, *outcome.error);
  }
  ++cell.causes[cause];
}

void AddCoverageCauses(const RequestOutcome& outcome, BurnCell& cell) {
  for (const ShardGroupId& group : outcome.missing_groups) {
    ++cell.causes[{BurnObjective::kCoverage, BurnCauseKind::kMissingGroup,
                   group.value()}];
  }
  if (!outcome.missing_groups.empty()) {
    return;
  }
  ++cell.causes[outcome.error
                    ? CauseOfError(BurnObjective::kCoverage, *outcome.error)
                    : BurnCause{BurnObjective::kCoverage, BurnCauseKind::kOther,
                                ""}];
}

}  // namespace

std::string ToString(BurnObjective objective) {
  return objective == BurnObjective::kLatency ? "latency" : "coverage";
}

std::string ToString(BurnCauseKind kind) {
  switch (kind) {
    case BurnCauseKind::kStraggler:
      return "straggler";
    case BurnCauseKind::kMissingGroup:
      return "missing_group";
    case BurnCauseKind::kRefused:
      return "refused";
    case BurnCauseKind::kQuarantine:
      return "quarantine";
    case BurnCauseKind::kError:
      return "error";
    case BurnCauseKind::kOther:
      return "other";
  }
  return "other";
}

void BurnCell::Merge(const BurnCell& other) {
  requests += other.requests;
  latency_bad += other.latency_bad;
  coverage_bad += other.coverage_bad;
  latency.Merge(other.latency);
  for (const auto& [cause, count] : other.causes) {
    causes[cause] += count;
  }
  LimitCauses(causes);
}

bool CountsForObjectives(const RequestOutcome& outcome) {
  if (!outcome.error) {
    return true;
  }
  switch (*outcome.error) {
    case ErrorCode::kInvalidRequest:
    case ErrorCode::kUnknownTeam:
    case ErrorCode::kUnknownIndexSet:
    case ErrorCode::kClaimConflict:
    case ErrorCode::kRequestTooOld:
      return false;
    default:
      return true;
  }
}

void AddOutcome(const RequestOutcome& outcome,
                Duration latency_objective,
                BurnCell& cell) {
  ++cell.requests;
  if (outcome.error || outcome.latency > latency_objective) {
    ++cell.latency_bad;
    AddLatencyCause(outcome, cell);
  }
  if (outcome.error || !outcome.complete) {
    ++cell.coverage_bad;
    AddCoverageCauses(outcome, cell);
  }
  // Refusals are fast and would lower the percentiles.
  if (!outcome.error) {
    cell.latency.Record(outcome.latency);
  }
  LimitCauses(cell.causes);
}

}  // namespace wasabihook
