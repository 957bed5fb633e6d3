#ifndef TESTS_SETTINGS_CLUSTER_H_
#define TESTS_SETTINGS_CLUSTER_H_

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "decision/membership/membership.h"
#include "decision/operations/quarantine.h"
#include "decision/settings/settings_registry.h"
#include "decision/settings/settings_sync.h"
#include "testing/fake_peer_network.h"
#include "testing/fake_platform.h"
#include "testing/manual_timer_service.h"
#include "wasabihook/random_source.h"

namespace wasabihook::testing {

// One instance, driven by a manual clock.
struct ClusterNode {
  PeerIdentity self;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<SettingsRegistry> registry;
  std::shared_ptr<Membership> membership;
  std::unique_ptr<CrashQuarantine> quarantine;
  std::unique_ptr<SettingsSync> sync;
  std::map<std::string, Revision> applied;
  bool revision_decreased = false;
};

// Several instances in two data centres, with a fake platform and network.
class SettingsCluster {
 public:
  explicit SettingsCluster(uint64_t seed, size_t nodes = 6)
      : m_random(MakeRandomSource(seed)),
        m_platform(&m_timers, m_random),
        m_network(&m_timers, std::chrono::milliseconds(1)) {
    for (size_t i = 0; i < nodes; ++i) {
      m_nodes.push_back(MakeNode(i));
    }
  }

  ManualTimerService& timers() { return m_timers; }
  FakePlatform& platform() { return m_platform; }
  FakePeerNetwork& network() { return m_network; }
  RandomSource random() { return m_random; }
  size_t size() const { return m_nodes.size(); }
  ClusterNode& node(size_t i) { return *m_nodes[i]; }

  // Stops instance `i` without a leave announcement and starts another
  // incarnation at its address.
  void Replace(size_t i) {
    const bool revision_decreased = m_nodes[i]->revision_decreased;
    m_network.Detach(m_nodes[i]->self.address);
    m_nodes[i].reset();
    m_nodes[i] = MakeNode(i);
    m_nodes[i]->revision_decreased = revision_decreased;
  }

  void Run(Duration time) { m_timers.Advance(time); }

  // Writes to the store directly, without the checks of SettingsWriter.
  void WriteToStore(const std::string& subtree, const std::string& text) {
    const std::string key = "settings/" + subtree;
    Revision revision;
    for (const KeyValue& entry : m_platform.Contents(key)) {
      revision = entry.revision;
    }
    m_platform.CompareAndSwap(key, revision, text, [](const WriteResult&) {});
    m_timers.RunDue();
  }

  Revision StoreRevision(const std::string& subtree) const {
    const auto entries = m_platform.Contents("settings/" + subtree);
    return entries.empty() ? Revision(0) : entries[0].revision;
  }

 private:
  std::unique_ptr<ClusterNode> MakeNode(size_t i) {
    auto node = std::make_unique<ClusterNode>();
    const std::string name = "i-" + std::to_string(i);
    node->self = {InstanceId(name), Incarnation(++m_incarnations),
                  "127.0.0." + std::to_string(i + 1) + ":7000",
                  DataCentreId(i % 2 == 0 ? "bay-a" : "bay-b")};
    node->transport = m_network.TransportFor(node->self.address);
    node->registry = std::make_unique<SettingsRegistry>(&m_timers);
    node->membership = Membership::Create({.timers = &m_timers,
                                           .list = &m_platform,
                                           .random = m_random,
                                           .self = node->self});
    node->quarantine = std::make_unique<CrashQuarantine>(&m_timers);
    CrashQuarantine* const quarantine = node->quarantine.get();
    node->sync = std::make_unique<SettingsSync>(SettingsSyncDeps{
        .timers = &m_timers,
        .store = &m_platform,
        .transport = node->transport.get(),
        .registry = node->registry.get(),
        .membership = node->membership,
        .random = m_random,
        .seed_peers = {"127.0.0.1:7000", "127.0.0.2:7000"},
        .notices =
            [quarantine] {
              return PeerNotices{quarantine->Entries(), {}};
            },
        .on_notices =
            [quarantine](const PeerNotices& notices) {
              return MergeEntries(quarantine, notices.quarantine);
            }});
    node->registry->Subscribe([node = node.get()](const SettingsChange& c) {
      Revision& applied = node->applied[c.subtree];
      node->revision_decreased |= c.revision <= applied;
      applied = std::max(applied, c.revision);
    });
    SettingsSync* const sync = node->sync.get();
    m_network.Attach(node->self.address, [sync](const PeerRequest& request) {
      return sync->Handle(request);
    });
    node->membership->Start();
    node->sync->Start();
    return node;
  }

  ManualTimerService m_timers;
  RandomSource m_random;
  FakePlatform m_platform;
  FakePeerNetwork m_network;
  uint64_t m_incarnations = 0;
  std::vector<std::unique_ptr<ClusterNode>> m_nodes;
};

}  // namespace wasabihook::testing

#endif  // TESTS_SETTINGS_CLUSTER_H_
