#include "decision/burn/burn_codec.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace wasabihook {
namespace {

using Json = nlohmann::json;

// Incremented when the layout changes.
constexpr int kFormat = 1;
constexpr size_t kCauseFields = 4;
constexpr size_t kWatermarkFields = 4;

void Require(bool condition, const char* what) {
  if (!condition) {
    throw std::invalid_argument(std::string("burn counts: ") + what);
  }
}

// Cells are arrays instead of objects to keep the value small: there is one per
// team and minute.
Json CellToJson(const BurnCell& cell) {
  Json latency = Json::array();
  for (const BurnHistogram::Bucket& bucket : cell.latency.buckets()) {
    latency.push_back(bucket.index);
    latency.push_back(bucket.count);
  }
  Json causes = Json::array();
  for (const auto& [cause, count] : cell.causes) {
    causes.push_back({static_cast<int>(cause.objective),
                      static_cast<int>(cause.kind), cause.detail, count});
  }
  return {cell.requests, cell.latency_bad, cell.coverage_bad,
          std::move(latency), std::move(causes)};
}

std::pair<BurnCause, uint64_t> CauseFromJson(const Json& json) {
  Require(json.is_array() && json.size() == kCauseFields, "cause");
  const auto objective = json.at(0).get<unsigned>();
  const auto kind = json.at(1).get<unsigned>();
  Require(objective <= static_cast<unsigned>(BurnObjective::kCoverage),
          "objective");
  Require(kind <= static_cast<unsigned>(BurnCauseKind::kOther), "cause kind");
  return {BurnCause{static_cast<BurnObjective>(objective),
                    static_cast<BurnCauseKind>(kind),
                    json.at(2).get<std::string>()},
          json.at(3).get<uint64_t>()};
}

BurnCell CellFromJson(const Json& json) {
  Require(json.is_array() && json.size() == 5, "cell");
  BurnCell cell;
  cell.requests = json.at(0).get<uint64_t>();
  cell.latency_bad = json.at(1).get<uint64_t>();
  cell.coverage_bad = json.at(2).get<uint64_t>();
  const Json& latency = json.at(3);
  Require(latency.is_array() && latency.size() % 2 == 0, "latency");
  for (size_t i = 0; i < latency.size(); i += 2) {
    cell.latency.Add(latency.at(i).get<uint16_t>(),
                     latency.at(i + 1).get<uint64_t>());
  }
  for (const Json& cause : json.at(4)) {
    cell.causes.insert(CauseFromJson(cause));
  }
  return cell;
}

Json ObjectivesToJson(const BurnObjectives& objectives) {
  return {objectives.latency_objective.count(), objectives.latency_target.value,
          objectives.coverage_target.value};
}

BurnObjectives ObjectivesFromJson(const Json& json) {
  Require(json.is_array() && json.size() == 3, "objectives");
  BurnObjectives objectives;
  objectives.latency_objective = Duration(json.at(0).get<int64_t>());
  objectives.latency_target.value = json.at(1).get<double>();
  objectives.coverage_target.value = json.at(2).get<double>();
  return objectives;
}

Json BucketToJson(const BurnBucket& bucket) {
  Json teams = Json::array();
  for (const TeamBurn& team : bucket.teams) {
    teams.push_back({team.team.value(), ObjectivesToJson(team.objectives),
                     CellToJson(team.cell)});
  }
  return {bucket.sequence, bucket.minute, std::move(teams)};
}

BurnBucket BucketFromJson(const Json& json) {
  Require(json.is_array() && json.size() == 3, "bucket");
  BurnBucket bucket;
  bucket.sequence = json.at(0).get<uint64_t>();
  bucket.minute = json.at(1).get<int64_t>();
  for (const Json& team : json.at(2)) {
    Require(team.is_array() && team.size() == 3, "team");
    bucket.teams.push_back({TeamId(team.at(0).get<std::string>()),
                            ObjectivesFromJson(team.at(1)),
                            CellFromJson(team.at(2))});
  }
  return bucket;
}

Json TeamToJson(const TeamLedger& team) {
  Json cells = Json::array();
  for (const auto& [span, cell] : team.cells) {
    cells.push_back({span.start, span.width, CellToJson(cell)});
  }
  return {{"objectives", ObjectivesToJson(team.objectives)},
          {"cells", std::move(cells)}};
}

TeamLedger TeamFromJson(const Json& json) {
  TeamLedger team;
  team.objectives = ObjectivesFromJson(json.at("objectives"));
  for (const Json& entry : json.at("cells")) {
    Require(entry.is_array() && entry.size() == 3, "cell entry");
    const BurnInterval span{entry.at(0).get<int64_t>(),
                            entry.at(1).get<int32_t>()};
    Require(span.width == 1 || span.width == 5 || span.width == 60, "width");
    team.cells.emplace(span, CellFromJson(entry.at(2)));
  }
  return team;
}

void WatermarksFromJson(const Json& json, BurnLedger& ledger) {
  for (const Json& entry : json) {
    Require(entry.is_array() && entry.size() == kWatermarkFields, "watermark");
    ledger.watermarks.emplace(
        BurnSource{InstanceId(entry.at(0).get<std::string>()),
                   Incarnation(entry.at(1).get<uint64_t>())},
        BurnWatermark{entry.at(2).get<uint64_t>(), entry.at(3).get<int64_t>()});
  }
}

BurnLedger LedgerFromJson(const Json& json) {
  Require(json.at("format").get<int>() == kFormat,
          "unsupported format version");
  BurnLedger ledger;
  ledger.horizon_minute = json.at("horizon_minute").get<int64_t>();
  ledger.newest_minute = json.at("newest_minute").get<int64_t>();
  ledger.refused_buckets = json.at("refused_buckets").get<uint64_t>();
  WatermarksFromJson(json.at("watermarks"), ledger);
  for (const auto& [team, value] : json.at("teams").items()) {
    ledger.teams.emplace(TeamId(team), TeamFromJson(value));
  }
  return ledger;
}

// Runs `decode` and converts its exceptions to std::invalid_argument.
template <typename Decode>
auto TranslateDecodeErrors(const Decode& decode) {
  try {
    return decode();
  } catch (const Json::exception& error) {
    throw std::invalid_argument(std::string("burn counts: ") + error.what());
  } catch (const std::out_of_range& error) {
    throw std::invalid_argument(std::string("burn counts: ") + error.what());
  }
}

}  // namespace

std::string EncodeBurnLedger(const BurnLedger& ledger) {
  Json watermarks = Json::array();
  for (const auto& [source, watermark] : ledger.watermarks) {
    watermarks.push_back({source.instance.value(), source.incarnation.value(),
                          watermark.sequence, watermark.newest_minute});
  }
  Json teams = Json::object();
  for (const auto& [id, team] : ledger.teams) {
    teams[id.value()] = TeamToJson(team);
  }
  return Json{{"format", kFormat},
              {"horizon_minute", ledger.horizon_minute},
              {"newest_minute", ledger.newest_minute},
              {"refused_buckets", ledger.refused_buckets},
              {"watermarks", std::move(watermarks)},
              {"teams", std::move(teams)}}
      .dump();
}

BurnLedger DecodeBurnLedger(const std::string& text) {
  return TranslateDecodeErrors(
      [&] { return LedgerFromJson(Json::parse(text)); });
}

std::string EncodeBurnBuckets(const std::vector<BurnBucket>& buckets) {
  Json json = Json::array();
  for (const BurnBucket& bucket : buckets) {
    json.push_back(BucketToJson(bucket));
  }
  return json.dump();
}

std::vector<BurnBucket> DecodeBurnBuckets(const std::string& text) {
  return TranslateDecodeErrors([&] {
    std::vector<BurnBucket> buckets;
    for (const Json& entry : Json::parse(text)) {
      buckets.push_back(BucketFromJson(entry));
    }
    return buckets;
  });
}

}  // namespace wasabihook
