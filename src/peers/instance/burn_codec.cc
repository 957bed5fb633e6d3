#include "peers/instance/burn_codec.h"

#include <stdexcept>
#include <utility>

#include "wasabihook/burn_counts.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

// Year 33658. The limit prevents overflow in arithmetic on minutes.
constexpr uint64_t kMaxUnixMinute = 16'667'000'000;
constexpr uint64_t kMaxLatencyObjectiveUs = 24ULL * 3600 * 1'000'000;

Json::Value EncodeCell(const BurnCell& cell) {
  Json::Value json(Json::objectValue);
  json["requests"] = Json::UInt64(cell.requests);
  json["latency_bad"] = Json::UInt64(cell.latency_bad);
  json["coverage_bad"] = Json::UInt64(cell.coverage_bad);
  json["latency"] = Json::Value(Json::arrayValue);
  for (const auto& [index, count] : cell.latency.buckets()) {
    Json::Value bucket(Json::objectValue);
    bucket["index"] = index;
    bucket["count"] = Json::UInt64(count);
    json["latency"].append(std::move(bucket));
  }
  json["causes"] = Json::Value(Json::arrayValue);
  for (const auto& [cause, count] : cell.causes) {
    Json::Value item(Json::objectValue);
    item["objective"] = static_cast<unsigned>(cause.objective);
    item["kind"] = static_cast<unsigned>(cause.kind);
    item["detail"] = cause.detail;
    item["count"] = Json::UInt64(count);
    json["causes"].append(std::move(item));
  }
  return json;
}

BurnHistogram DecodeLatency(const JsonObjectReader& reader) {
  BurnHistogram latency;
  reader.GetList("latency", [&](const Json::Value& item,
                                const std::string& path) {
    const JsonObjectReader bucket(item, path);
    try {
      latency.Add(static_cast<uint16_t>(bucket.GetUint64("index", UINT16_MAX)),
                  bucket.GetUint64("count"));
    } catch (const std::out_of_range&) {
      throw PeerDecodeError(PeerDecodeErrorKind::kOutOfRange, path + ".index");
    }
    return 0;
  });
  return latency;
}

BurnCell DecodeCell(const JsonObjectReader& reader) {
  BurnCell cell;
  cell.requests = reader.GetUint64("requests");
  cell.latency_bad = reader.GetUint64("latency_bad");
  cell.coverage_bad = reader.GetUint64("coverage_bad");
  cell.latency = DecodeLatency(reader);
  reader.GetList(
      "causes", [&](const Json::Value& item, const std::string& path) {
        const JsonObjectReader entry(item, path);
        BurnCause cause;
        cause.objective = static_cast<BurnObjective>(entry.GetUint64(
            "objective", static_cast<uint64_t>(BurnObjective::kCoverage)));
        cause.kind = static_cast<BurnCauseKind>(entry.GetUint64(
            "kind", static_cast<uint64_t>(BurnCauseKind::kOther)));
        cause.detail = entry.GetString("detail");
        cell.causes[std::move(cause)] += entry.GetUint64("count");
        return 0;
      });
  return cell;
}

Json::Value EncodeTeam(const TeamBurn& burn) {
  Json::Value json(Json::objectValue);
  json["team"] = burn.team.value();
  json["latency_objective_us"] =
      Json::Int64(burn.objectives.latency_objective.count());
  json["latency_target"] = burn.objectives.latency_target.value;
  json["coverage_target"] = burn.objectives.coverage_target.value;
  json["cell"] = EncodeCell(burn.cell);
  return json;
}

TeamBurn DecodeTeam(const Json::Value& item, const std::string& path) {
  const JsonObjectReader reader(item, path);
  TeamBurn burn;
  burn.team = TeamId(reader.GetNonEmptyString("team"));
  burn.objectives.latency_objective = Duration(
      reader.GetUint64("latency_objective_us", kMaxLatencyObjectiveUs));
  burn.objectives.latency_target = reader.GetFraction("latency_target");
  burn.objectives.coverage_target = reader.GetFraction("coverage_target");
  burn.cell = DecodeCell(reader.GetObject("cell"));
  return burn;
}

Json::Value EncodeBuckets(const std::vector<BurnBucket>& buckets) {
  Json::Value list(Json::arrayValue);
  for (const BurnBucket& bucket : buckets) {
    Json::Value json(Json::objectValue);
    json["sequence"] = Json::UInt64(bucket.sequence);
    json["minute"] = Json::Int64(bucket.minute);
    json["teams"] = Json::Value(Json::arrayValue);
    for (const TeamBurn& burn : bucket.teams) {
      json["teams"].append(EncodeTeam(burn));
    }
    list.append(std::move(json));
  }
  return list;
}

BurnBucket DecodeBucket(const Json::Value& item, const std::string& path) {
  const JsonObjectReader reader(item, path);
  BurnBucket bucket;
  bucket.sequence = reader.GetUint64("sequence");
  bucket.minute =
      static_cast<int64_t>(reader.GetUint64("minute", kMaxUnixMinute));
  bucket.teams = reader.GetList("teams", DecodeTeam);
  return bucket;
}

}  // namespace

Json::Value EncodeBurnRequest(const BurnCountsRequest& request) {
  Json::Value json(Json::objectValue);
  json["from"] = EncodeIdentity(request.from);
  json["receiver"] = Json::UInt64(request.receiver.value());
  json["acknowledged"] = Json::UInt64(request.acknowledged);
  return json;
}

Json::Value EncodeBurnResponse(const BurnCountsResponse& response) {
  Json::Value json(Json::objectValue);
  json["from"] = EncodeIdentity(response.from);
  json["buckets"] = EncodeBuckets(response.buckets);
  return json;
}

BurnCountsRequest DecodeBurnRequest(const Json::Value& params) {
  const JsonObjectReader reader(params, "");
  return {DecodeIdentity(reader.GetObject("from")),
          Incarnation(reader.GetUint64("receiver")),
          reader.GetUint64("acknowledged")};
}

BurnCountsResponse DecodeBurnResponse(const Json::Value& result) {
  const JsonObjectReader reader(result, "");
  return {DecodeIdentity(reader.GetObject("from")),
          reader.GetList("buckets", DecodeBucket)};
}

}  // namespace wasabihook
