// Prints a burn report of synthetic request counts: three days of two teams in
// two data centres. One team has a slow server during the last hour and two
// unavailable shard groups for 20 minutes of the last day. Ten minutes have no
// counts.
//
//   example_burn_report html > report.html
//
// The format "value" prints the counts of one data centre in the encoding that
// is stored in the platform.

#include <cmath>
#include <iostream>
#include <random>
#include <string>

#include "decision/burn/burn_cell.h"
#include "decision/burn/burn_codec.h"
#include "decision/burn/report.h"

namespace {

using namespace wasabihook;  // NOLINT(google-build-using-namespace)

constexpr int64_t kEndMinute = 29'680'000;
constexpr int64_t kReportMinutes = int64_t{3} * 24 * 60;
constexpr int kRequestsPerMinute = 60;

RequestOutcome GenerateOutcome(std::mt19937_64& random,
                               int64_t minutes_before_end) {
  RequestOutcome outcome;
  std::lognormal_distribution<double> milliseconds(std::log(18.0), 0.45);
  outcome.latency = Duration(static_cast<int64_t>(milliseconds(random) * 1000));
  outcome.complete = true;
  const bool slow = minutes_before_end < 60 && random() % 4 == 0;
  if (slow) {
    outcome.latency += std::chrono::milliseconds(120);
  }
  if (outcome.latency > config::kLatencyObjective) {
    outcome.slowest_server =
        ServerId(slow ? "10.1.0.17:8080"
                      : "10.1.0." + std::to_string(random() % 40) + ":8080");
  }
  if (minutes_before_end >= 200 && minutes_before_end < 220 &&
      random() % 3 == 0) {
    outcome.complete = false;
    outcome.missing_groups = {ShardGroupId("g07"), ShardGroupId("g08")};
  }
  if (random() % 5000 == 0) {
    outcome.complete = false;
    outcome.error = ErrorCode::kOverloaded;
  }
  return outcome;
}

BurnBucket GenerateMinute(std::mt19937_64& random, int64_t minute) {
  BurnBucket bucket;
  bucket.minute = minute;
  const int64_t minutes_before_end = kEndMinute - minute;
  for (const char* team : {"clerks", "couriers"}) {
    // Only the first team sees the faults, all of which are less than
    // kReportMinutes before the end.
    const int64_t fault_minutes_before_end =
        team == std::string("clerks") ? minutes_before_end : kReportMinutes;
    TeamBurn burn{TeamId(team), {}, {}};
    for (int i = 0; i < kRequestsPerMinute; ++i) {
      AddOutcome(GenerateOutcome(random, fault_minutes_before_end),
                 config::kLatencyObjective, burn.cell);
    }
    bucket.teams.push_back(std::move(burn));
  }
  return bucket;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string format = argc > 1 ? argv[1] : "text";
  std::mt19937_64 random(20261204);
  std::map<DataCentreId, BurnLedger> ledgers;
  for (const char* name : {"addis-bole", "bahirdar-kebele"}) {
    BurnLedger& ledger = ledgers[DataCentreId(name)];
    const BurnSource source{InstanceId(name), Incarnation(1)};
    uint64_t sequence = 0;
    for (int64_t minute = kEndMinute - kReportMinutes; minute < kEndMinute;
         ++minute) {
      if (const int64_t minutes_before_end = kEndMinute - minute;
          minutes_before_end >= 120 && minutes_before_end < 130) {
        continue;
      }
      BurnBucket bucket = GenerateMinute(random, minute);
      bucket.sequence = ++sequence;
      ledger.Fold(source, bucket, minute);
    }
    ledger.Compact(kEndMinute);
  }
  if (format == "value") {
    std::cout << EncodeBurnLedger(ledgers.begin()->second);
    return 0;
  }
  const WallTime now{std::chrono::minutes(kEndMinute + 2)};
  const BurnReport report = MakeBurnReport(ledgers, now);
  std::cout << (format == "html"   ? FormatReportHtml(report)
                : format == "json" ? FormatReportJson(report)
                                   : FormatReportText(report));
  return 0;
}
