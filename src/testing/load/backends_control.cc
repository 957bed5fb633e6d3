#include "testing/load/backends_control.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "testing/load/http_call.h"

namespace wasabihook::load {
namespace {

using Json = nlohmann::json;

constexpr Duration kTimeout = std::chrono::seconds(30);

std::string BodyOrThrow(const std::string& what, HttpCallResult result) {
  constexpr int kOk = 200;
  if (result.status != kOk) {
    throw std::runtime_error("fake backends: " + what +
                             " returned HTTP status " +
                             std::to_string(result.status) + " " + result.body);
  }
  return std::move(result.body);
}

RequestKind KindOf(const std::string& name) {
  if (name == "fetch") {
    return RequestKind::kFetch;
  }
  return name == "operation" ? RequestKind::kOperation : RequestKind::kSearch;
}

void AppendRuns(const Json& list, std::vector<RunRecord>* runs) {
  for (const Json& entry : list) {
    runs->push_back(
        {.index_set = entry.at("index_set").get<std::string>(),
         .group = entry.value("group", std::string()),
         .snapshot = {IndexVersion(entry.at("index_version").get<uint64_t>()),
                      MapVersion(entry.at("map_version").get<uint64_t>())},
         .kind = KindOf(entry.at("kind").get<std::string>()),
         .payload = entry.value("payload", std::string()),
         .idempotency_key = entry.value("idempotency_key", std::string())});
  }
}

}  // namespace

BackendsControl::BackendsControl(std::string address)
    : m_address(std::move(address)) {}

std::string BackendsControl::Get(const std::string& path) const {
  return BodyOrThrow(
      path, HttpCall("GET", "http://" + m_address + path, "", kTimeout));
}

std::string BackendsControl::Post(const std::string& path,
                                  const Json& body) const {
  return BodyOrThrow(path, HttpCall("POST", "http://" + m_address + path,
                                    body.dump(), kTimeout));
}

std::vector<ControlledServer> BackendsControl::Servers() const {
  std::vector<ControlledServer> servers;
  for (const Json& entry : Json::parse(Get("/servers"))) {
    servers.push_back({entry.at("server").get<std::string>(),
                       entry.at("index_set").get<std::string>(),
                       entry.at("group").get<std::string>(),
                       entry.at("data_centre").get<std::string>()});
  }
  return servers;
}

CountsByServer BackendsControl::Counts() const {
  CountsByServer counts;
  const Json stats = Json::parse(Get("/stats"));
  for (const auto& [server, entry] : stats.at("servers").items()) {
    counts[server] = {entry.at("received").get<uint64_t>(),
                      entry.at("started").get<uint64_t>(),
                      entry.at("crashes").get<uint64_t>()};
  }
  return counts;
}

void BackendsControl::ReadRunLog(ReferenceData* reference) const {
  const Json log = Json::parse(Get("/log"));
  AppendRuns(log.at("reads"), &reference->runs);
  reference->reads_have_payload =
      std::none_of(reference->runs.begin(), reference->runs.end(),
                   [](const RunRecord& run) { return run.payload.empty(); });
  AppendRuns(log.at("operations"), &reference->runs);
}

std::string BackendsControl::SettingsText(const std::string& team) const {
  return Get("/settings?team=" + team);
}

void BackendsControl::SetFaults(const std::string& server,
                                const Json& faults) const {
  Post("/faults", {{"select", {{"server", server}}}, {"faults", faults}});
}

void BackendsControl::RollIndex(const std::string& index_set,
                                uint64_t version,
                                const std::string& data_centre) const {
  Json body = {{"index_set", index_set}, {"index_version", version}};
  if (!data_centre.empty()) {
    body["select"] = {{"data_centre", data_centre}};
  }
  Post("/index", body);
}

void BackendsControl::Repartition(const std::string& index_set,
                                  uint32_t groups) const {
  Post("/repartition", {{"index_set", index_set}, {"groups", groups}});
}

}  // namespace wasabihook::load
