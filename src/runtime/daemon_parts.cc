#include "runtime/daemon_parts.h"

#include <cinttypes>
#include <cstdio>
#include <random>
#include <utility>

namespace wasabihook {
namespace {

uint64_t TrueRandom() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

// Instance ids repeat over restarts, incarnations do not.
std::string IdPrefix(const StartConfig& config, Incarnation incarnation) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64, incarnation.value());
  return config.instance.value() + "." + text + ".";
}

platform::PlatformClientOptions PlatformOptions(const StartConfig& config,
                                                Metrics* metrics) {
  platform::PlatformClientOptions options;
  options.address = config.platform_address;
  options.on_call = [metrics](platform::CallKind kind, StoreStatus status,
                              Duration latency) {
    metrics->RecordPlatformCall(platform::ToString(kind),
                                platform::ToString(status), latency);
  };
  return options;
}

BackendTransportOptions BackendOptions(const StartConfig& config) {
  BackendTransportOptions options;
  options.shards = config.backend_threads;
  return options;
}

QueryTierDeps TierDeps(DaemonParts* parts, const StartConfig& config) {
  QueryTierDeps deps;
  deps.timers = &parts->timers;
  deps.transport = &parts->transport;
  deps.settings = &parts->settings;
  deps.servers = parts->servers.get();
  deps.hedging = parts->hedging.get();
  deps.retry_budget = parts->retry_budget.get();
  deps.admission = parts->admission.get();
  deps.claims = &parts->claims;
  deps.quarantine = &parts->quarantine;
  deps.random = parts->random;
  deps.id_prefix = IdPrefix(config, parts->incarnation);
  deps.on_outcome = [parts](const RequestOutcome& outcome) {
    parts->metrics.RecordOutcome(outcome);
    parts->burn.Record(outcome);
  };
  return deps;
}

}  // namespace

DaemonParts::DaemonParts(const StartConfig& config)
    : random(MakeRandomSource(TrueRandom())),
      incarnation(TrueRandom()),
      timers(config.timer_threads),
      settings(&timers),
      platform(PlatformOptions(config, &metrics)),
      burn(&timers, &settings),
      servers(ServerTable::Create(&timers, random)),
      hedging(HedgePolicy::Create()),
      retry_budget(RetryBudget::Create()),
      admission(AdmissionController::Create(&timers)),
      claims(&timers),
      transport(BackendOptions(config)),
      tier(QueryTier::Create(TierDeps(this, config))),
      sync(&timers, &platform, &settings) {}

DaemonParts::~DaemonParts() = default;

}  // namespace wasabihook
