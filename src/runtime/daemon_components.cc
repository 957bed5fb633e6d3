#include "runtime/daemon_components.h"

#include <cinttypes>
#include <cstdio>
#include <random>
#include <stdexcept>
#include <utility>

#include "decision/settings/settings_parser.h"
#include "runtime/limits.h"
#include "runtime/logging.h"

namespace wasabihook {
namespace {

uint64_t NondeterministicRandom() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

// Includes the incarnation, since an instance id is reused after a restart.
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
  options.worker_threads = config.backend_threads;
  return options;
}

std::string ToString(ClaimEvent event) {
  switch (event) {
    case ClaimEvent::kWriteOutcomeUnknown:
      return "unclear_write";
    case ClaimEvent::kWithdrawn:
      return "withdrawn";
    case ClaimEvent::kRecorded:
      return "recorded";
    case ClaimEvent::kOutcomeNotStored:
      return "outcome_not_stored";
    case ClaimEvent::kGivenUp:
      return "given_up";
    case ClaimEvent::kInvalidValue:
      return "invalid_value";
  }
  return "unknown";
}

ClaimStoreDeps ClaimDeps(DaemonComponents* components,
                         const StartConfig& config) {
  return {.timers = &components->timers,
          .store = &components->platform,
          .random = components->random,
          .instance = config.instance,
          .incarnation = components->incarnation,
          .on_event = [components](ClaimEvent event, const ClaimKey& key) {
            components->metrics.RecordClaimEvent(key.team, ToString(event));
          }};
}

QueryTierDeps TierDeps(DaemonComponents* components,
                       const StartConfig& config) {
  QueryTierDeps deps;
  deps.timers = &components->timers;
  deps.transport = &components->transport;
  deps.settings = &components->settings;
  deps.servers = components->servers.get();
  deps.hedging = components->hedging.get();
  deps.retry_budget = components->retry_budget.get();
  deps.admission = components->admission.get();
  deps.claims = &components->claims;
  deps.quarantine = &components->quarantine;
  deps.random = components->random;
  deps.id_prefix = IdPrefix(config, components->incarnation);
  deps.on_outcome = [components](const RequestOutcome& outcome) {
    components->metrics.RecordOutcome(outcome);
    components->burn.Record(outcome);
  };
  return deps;
}

}  // namespace

DaemonComponents::DaemonComponents(const StartConfig& config)
    : random(MakeRandomSource(NondeterministicRandom())),
      incarnation(NondeterministicRandom()),
      timers(config.timer_threads),
      settings(&timers),
      platform(PlatformOptions(config, &metrics)),
      burn(&timers, &settings),
      servers(ServerTable::Create(&timers, random)),
      hedging(HedgePolicy::Create()),
      retry_budget(RetryBudget::Create()),
      admission(AdmissionController::Create(&timers)),
      quarantine(&timers),
      claims(ClaimDeps(this, config)),
      transport(BackendOptions(config)),
      tier(QueryTier::Create(TierDeps(this, config))) {
  PeerListenerOptions options;
  options.address = config.peer_address;
  // Bound before membership starts, since the port, which may be ephemeral, is
  // part of this instance's identity.
  peer_listener = std::make_unique<PeerListener>(
      options,
      [this](const PeerRequest& request) { return HandlePeer(request); });
  StartMembership(config);
  StartSync(config);
  StartAggregator();
  StartCleaner();
  serves_peers = true;
}

DaemonComponents::~DaemonComponents() {
  if (peer_listener)
    peer_listener->Stop();
  settings.Unsubscribe(m_settings_subscription);
  if (membership)
    membership->Unsubscribe(m_members_subscription);
  cleaner.reset();
  aggregator.reset();
  sync.reset();
  // Timer callbacks use the remaining components, so the timers stop before
  // these are destroyed.
  timers.Stop();
}

PeerResponse DaemonComponents::HandlePeer(const PeerRequest& request) {
  if (!serves_peers)
    throw std::runtime_error("starting");
  if (const auto* counts = std::get_if<BurnCountsRequest>(&request))
    return aggregator->Handle(*counts);
  return sync->Handle(request);
}

void DaemonComponents::StartMembership(const StartConfig& config) {
  const PeerIdentity self{config.instance, incarnation,
                          peer_listener->address(), config.data_centre};
  membership = Membership::Create(
      {.timers = &timers, .list = &platform, .random = random, .self = self});
  m_members_subscription = membership->Subscribe(
      [this](const MembershipCounts& /*counts*/) { UpdateLimits(); });
  m_settings_subscription =
      settings.Subscribe([this](const SettingsChange& change) {
        if (change.fleet)
          membership->SetListPeriod(change.fleet->instance_list_period);
        UpdateLimits();
        Log(LogLevel::kInfo, "settings_applied",
            {{"subtree", change.subtree},
             {"revision", change.revision.value()}});
      });
  membership->Start();
}

void DaemonComponents::StartSync(const StartConfig& config) {
  sync = std::make_unique<SettingsSync>(
      SettingsSyncDeps{.timers = &timers,
                       .store = &platform,
                       .transport = &peers,
                       .registry = &settings,
                       .membership = membership,
                       .random = random,
                       .seed_peers = config.seeds,
                       .notices = [this] { return CollectNotices(); },
                       .on_notices =
                           [this](const PeerNotices& notices) {
                             return ApplyNotices(notices);
                           }});
  quarantine.SetOnAdded([this](const QuarantineEntry& entry) {
    Log(LogLevel::kWarning, "body_quarantined",
        {{"team", entry.team.value()},
         {"fingerprint", std::to_string(entry.fingerprint.value())},
         {"expires_in_ms", entry.expires_in.count() / 1000}});
    if (serves_peers)
      sync->NotifyPeers();
  });
  sync->Start();
}

void DaemonComponents::StartAggregator() {
  aggregator = std::make_unique<BurnAggregator>(BurnAggregatorDeps{
      .timers = &timers,
      .store = &platform,
      .peers = &peers,
      .counters = &burn,
      .random = random,
      .self = membership->self(),
      .live = [members = membership] {
        std::vector<PeerIdentity> live;
        const DataCentreId own_data_centre = members->self().data_centre;
        for (const Member& member : *members->Members()) {
          if (member.state == MemberState::kLive &&
              member.identity.data_centre == own_data_centre)
            live.push_back(member.identity);
        }
        return live;
      }});
  aggregator->Start();
}

void DaemonComponents::StartCleaner() {
  cleaner = std::make_unique<ClaimCleaner>(ClaimCleanerDeps{
      .timers = &timers,
      .store = &platform,
      .self = membership->self().instance,
      .live_instances =
          [members = membership] {
            std::vector<std::string> live;
            for (const Member& member : *members->Members()) {
              if (member.state == MemberState::kLive)
                live.push_back(member.identity.instance.value());
            }
            return live;
          },
      .teams = [this] { return ClaimCleanerTeams(); }});
}

std::vector<ClaimCleanerDeps::Team> DaemonComponents::ClaimCleanerTeams()
    const {
  std::vector<ClaimCleanerDeps::Team> teams;
  for (const SubtreeStatus& status : settings.Status()) {
    if (!status.subtree.starts_with(kTeamSubtreePrefix))
      continue;
    const TeamId id(status.subtree.substr(kTeamSubtreePrefix.size()));
    if (const TeamSettingsPtr team = settings.Team(id))
      teams.push_back({id, team->claim_retention});
  }
  return teams;
}

void DaemonComponents::UpdateLimits() {
  ApplyLimits({&settings, servers.get(), admission.get(), &transport},
              membership->Counts());
}

PeerNotices DaemonComponents::CollectNotices() const {
  PeerNotices notices;
  notices.quarantine = quarantine.Entries();
  for (const ServerStatus& status : servers->Status()) {
    // Drain marks received from peers are not forwarded; otherwise instances
    // would keep renewing each other's marks.
    if (status.draining && status.drain_source != DrainSource::kPeer)
      notices.draining_servers.push_back(status.id);
  }
  return notices;
}

bool DaemonComponents::ApplyNotices(const PeerNotices& notices) {
  for (const ServerId& server : notices.draining_servers)
    servers->MarkDraining(server, DrainSource::kPeer);
  return MergeEntries(&quarantine, notices.quarantine);
}

}  // namespace wasabihook
