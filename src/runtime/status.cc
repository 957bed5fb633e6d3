#include "runtime/status.h"

#include <chrono>
#include <optional>

#include <nlohmann/json.hpp>

namespace wasabihook {
namespace {

using nlohmann::json;

json SettingsJson(const DaemonComponents& components) {
  json subtrees = json::array();
  const WallTime now = components.timers.WallNow();
  for (const SubtreeStatus& status : components.settings.Status()) {
    json entry = {{"subtree", status.subtree},
                  {"revision", status.in_force.value()},
                  {"newest_revision", status.newest.value()},
                  {"source", ToString(status.source)}};
    if (status.in_force.value() != 0) {
      entry["age_ms"] =
          (now.since_unix_epoch - status.applied_at.since_unix_epoch).count();
    }
    if (status.rejected) {
      entry["rejected"] = {{"revision", status.rejected->revision.value()},
                           {"reason", status.rejected->reason},
                           {"age_ms", (now.since_unix_epoch -
                                       status.rejected->at.since_unix_epoch)
                                          .count()}};
    }
    subtrees.push_back(std::move(entry));
  }
  return subtrees;
}

json ServersJson(const DaemonComponents& components) {
  json servers = json::array();
  for (const ServerStatus& status : components.servers->Status()) {
    servers.push_back({{"server", status.id.value()},
                       {"outstanding", status.outstanding},
                       {"latency_estimate_us", status.latency_estimate.count()},
                       {"concurrency_limit", status.concurrency_limit},
                       {"ejected", status.ejected},
                       {"draining", status.draining},
                       {"slow_start", status.slow_start}});
  }
  return servers;
}

json AgeJson(const std::optional<Duration>& age) {
  return age ? json(age->count() / 1000) : json(nullptr);
}

json MembershipJson(const DaemonComponents& components) {
  json members = json::array();
  for (const Member& member : *components.membership->Members()) {
    members.push_back(
        {{"instance", member.identity.instance.value()},
         {"incarnation", std::to_string(member.identity.incarnation.value())},
         {"peer_address", member.identity.address},
         {"data_centre", member.identity.data_centre.value()},
         {"state", ToString(member.state)}});
  }
  const MembershipCounts counts = components.membership->Counts();
  return {{"live", counts.live},
          {"sharing", counts.sharing},
          {"list_age_ms", AgeJson(components.membership->ListAge())},
          {"members", std::move(members)}};
}

json SyncJson(const DaemonComponents& components) {
  const SettingsSyncStatus status = components.sync->Status();
  return {{"watcher", status.watcher},
          {"store_age_ms", AgeJson(status.store_age)},
          {"peer_age_ms", AgeJson(status.peer_age)}};
}

}  // namespace

std::string EncodeStatus(const DaemonComponents& components,
                         const StartConfig& config,
                         const DaemonState& state) {
  const json status = {
      {"instance", config.instance.value()},
      // As a string: many JSON parsers cannot represent a 64-bit integer
      // exactly.
      {"incarnation", std::to_string(components.incarnation.value())},
      {"data_centre", config.data_centre.value()},
      {"version", state.version},
      {"ready", state.ready},
      {"draining", state.draining},
      {"in_flight", components.tier->in_flight()},
      {"settings", SettingsJson(components)},
      {"settings_hash", std::to_string(components.settings.Hash())},
      {"greatest_revision", components.settings.GreatestRevision().value()},
      {"settings_sync", SyncJson(components)},
      {"membership", MembershipJson(components)},
      {"quarantined_bodies", components.quarantine.Entries().size()},
      {"unfinished_claims", components.claims.unfinished()},
      {"servers", ServersJson(components)}};
  return status.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace wasabihook
