#include "wasabihook-fleet-bench/fleet.h"

#include <sys/resource.h>

#include <algorithm>
#include <future>
#include <stdexcept>
#include <thread>
#include <utility>

namespace wasabihook::fleet_bench {
namespace {

using std::chrono::milliseconds;

constexpr char kSettingsKey[] = "settings/teams/bench";
constexpr uint32_t kTransportThreads = 16;
constexpr uint32_t kMaxIdleConnections = 64;
constexpr size_t kMaxQueuedCalls = 100'000;
constexpr milliseconds kPollPeriod{50};

PeerTransportOptions TransportOptions() {
  PeerTransportOptions options;
  options.threads = kTransportThreads;
  options.max_idle_connections = kMaxIdleConnections;
  options.max_queued = kMaxQueuedCalls;
  return options;
}

std::string SettingsText(uint32_t change, size_t bytes) {
  std::string text = "[team]\nname = \"bench\"\n[limits]\nmax_queued = " +
                     std::to_string(change % 100'000) + "\n";
  // Pads the text to the size of a subtree with index set snapshots.
  while (text.size() < bytes) {
    text += "# 127.0.0.1:9001@bay-a 127.0.0.1:9002@bay-b 127.0.0.1:9003\n";
  }
  return text;
}

}  // namespace

struct Fleet::Node {
  // Stops the listener first, because its handler uses the other members.
  ~Node() { listener->Stop(); }

  uint64_t incarnation = 0;
  std::shared_ptr<Membership> membership;
  std::unique_ptr<SettingsSync> sync;
  std::unique_ptr<PeerListener> listener;
};

Fleet::Fleet(size_t size,
             size_t data_centres,
             size_t settings_bytes,
             uint64_t seed)
    : m_data_centres(data_centres),
      m_settings_bytes(settings_bytes),
      m_random(MakeRandomSource(seed)),
      m_timers(std::make_unique<ThreadTimerService>()),
      m_platform(m_timers.get(), m_random),
      m_transport(std::make_unique<HttpPeerTransport>(TransportOptions())) {
  m_platform.SetFaults({.slow = milliseconds(2),
                        .list_lag = milliseconds(500),
                        .instance_ttl = std::chrono::seconds(30)});
  WriteSettings();
  for (size_t i = 0; i < size; ++i) {
    m_nodes.push_back(MakeNode(i));
  }
}

Fleet::~Fleet() {
  // Pending callbacks may still use the transport, the timers and the
  // registries, so these are destroyed after the nodes, once their threads have
  // ended.
  m_nodes.clear();
  m_transport.reset();
  m_timers.reset();
}

std::unique_ptr<Fleet::Node> Fleet::MakeNode(size_t index) {
  auto node = std::make_unique<Node>();
  node->incarnation = ++m_incarnations;
  m_registries.push_back(std::make_unique<SettingsRegistry>(m_timers.get()));
  SettingsRegistry* const registry = m_registries.back().get();
  // Set before the instance's address becomes known to its peers.
  auto sync = std::make_shared<std::promise<SettingsSync*>>();
  node->listener = std::make_unique<PeerListener>(
      PeerListenerOptions{},
      [target = sync->get_future().share()](const PeerRequest& request) {
        return target.get()->Handle(request);
      });
  node->membership = Membership::Create(
      {.timers = m_timers.get(),
       .list = &m_platform,
       .random = m_random,
       .self = {InstanceId("i-" + std::to_string(index)),
                Incarnation(node->incarnation), node->listener->address(),
                DataCentreId("dc-" + std::to_string(index % m_data_centres))}});
  registry->Subscribe(
      [this, incarnation = node->incarnation](const SettingsChange& change) {
        OnApplied(incarnation, change.revision);
      });
  node->sync = std::make_unique<SettingsSync>(
      SettingsSyncDeps{.timers = m_timers.get(),
                       .store = &m_platform,
                       .transport = m_transport.get(),
                       .registry = registry,
                       .membership = node->membership,
                       .random = m_random,
                       .seed_peers = {},
                       .notices = nullptr,
                       .on_notices = nullptr});
  sync->set_value(node->sync.get());
  node->membership->Start();
  node->sync->Start();
  return node;
}

void Fleet::OnApplied(uint64_t incarnation, Revision revision) {
  const Clock::time_point now = Clock::now();
  {
    std::lock_guard lock(m_mutex);
    auto& [known, at] = m_applied[incarnation];
    if (revision > known) {
      known = revision;
      at = now;
    }
  }
  m_applied_changed.notify_one();
}

bool Fleet::WaitForMembership(std::chrono::seconds limit) {
  const Clock::time_point end = Clock::now() + limit;
  for (auto& node : m_nodes) {
    while (node->membership->Counts().live < m_nodes.size()) {
      if (Clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(kPollPeriod);
    }
  }
  return true;
}

Revision Fleet::WriteSettings() {
  const auto promise = std::make_shared<std::promise<WriteResult>>();
  m_platform.CompareAndSwap(
      kSettingsKey, m_revision, SettingsText(++m_changes, m_settings_bytes),
      [promise](WriteResult result) { promise->set_value(std::move(result)); });
  const WriteResult result = promise->get_future().get();
  if (result.status != StoreStatus::kOk) {
    throw std::runtime_error("fake platform store rejected the settings write");
  }
  m_accepted_at = Clock::now();
  return m_revision = result.revision;
}

ChangeTiming Fleet::ApplyChange(std::chrono::seconds limit,
                                bool store_down_after) {
  const Revision revision = WriteSettings();
  if (store_down_after) {
    SetStoreDown(true);
  }
  return WaitUntilApplied(revision, limit);
}

ChangeTiming Fleet::WaitUntilApplied(Revision revision,
                                     std::chrono::seconds limit) {
  std::unique_lock lock(m_mutex);
  const auto missing = [&] {
    return static_cast<size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto& node) {
          return m_applied[node->incarnation].first < revision;
        }));
  };
  m_applied_changed.wait_until(lock, m_accepted_at + limit,
                               [&] { return missing() == 0; });
  ChangeTiming timing;
  timing.missing = missing();
  for (const auto& node : m_nodes) {
    if (const auto& [known, at] = m_applied[node->incarnation];
        known >= revision) {
      const std::chrono::duration<double> took = at - m_accepted_at;
      timing.seconds.push_back(std::max(0.0, took.count()));
    }
  }
  return timing;
}

void Fleet::ReplaceEveryNth(size_t nth) {
  for (size_t i = 0; i < m_nodes.size(); i += nth) {
    m_nodes[i].reset();
    m_nodes[i] = MakeNode(i);
  }
}

void Fleet::SetStoreDown(bool down) {
  testing::PlatformFaults faults = m_platform.faults();
  faults.down = down;
  m_platform.SetFaults(faults);
}

FleetTotals Fleet::Totals() const {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  const testing::PlatformStats stats = m_platform.Stats();
  return {.at = Clock::now(),
          .cpu_seconds = seconds(usage.ru_utime) + seconds(usage.ru_stime),
          .peer_calls = m_transport->calls(),
          .peer_body_bytes = m_transport->bytes(),
          .platform_reads = stats.count(testing::PlatformCall::kList) +
                            stats.count(testing::PlatformCall::kWatch),
          .list_reads = stats.count(testing::PlatformCall::kListInstances),
          .platform_writes = stats.writes()};
}

}  // namespace wasabihook::fleet_bench
