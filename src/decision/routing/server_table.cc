#include "wasabihook/server_table.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "decision/routing/replica_choice.h"
#include "decision/routing/server_state.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

// Server states, sharded by id. Owned by the table; the sweep timer holds a
// weak reference, since its callback may run after the table is destroyed.
class ServerStateShards {
 public:
  // Calls `function` with the state of `id`, which is created if absent.
  template <typename Function>
  auto WithServer(const ServerId& id, TimePoint now, Function function) {
    Shard& shard = ShardOf(id);
    std::lock_guard lock(shard.mutex);
    return function(shard.servers.try_emplace(id, now).first->second);
  }

  // Calls `function` with the state of `id` if there is one.
  template <typename Function>
  void WithExistingServer(const ServerId& id, Function function) {
    Shard& shard = ShardOf(id);
    std::lock_guard lock(shard.mutex);
    if (auto it = shard.servers.find(id); it != shard.servers.end()) {
      function(it->second);
    }
  }

  void Sweep(TimePoint now) {
    for (Shard& shard : m_shards) {
      std::lock_guard lock(shard.mutex);
      std::erase_if(shard.servers, [now](const auto& entry) {
        return entry.second.IsExpired(now);
      });
    }
  }

  std::vector<ServerStatus> Status(TimePoint now) const {
    std::vector<ServerStatus> result;
    for (const Shard& shard : m_shards) {
      std::lock_guard lock(shard.mutex);
      for (const auto& [id, state] : shard.servers) {
        result.push_back(state.Status(id, now));
      }
    }
    std::sort(result.begin(), result.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    return result;
  }

 private:
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<ServerId, ServerState> servers;
  };

  Shard& ShardOf(const ServerId& id) {
    return m_shards.at(std::hash<ServerId>{}(id) % m_shards.size());
  }

  std::array<Shard, config::kStateShards> m_shards;
};

class ShardedServerTable : public ServerTable {
 public:
  ShardedServerTable(TimerService* timers, RandomSource random)
      : m_timers(timers),
        m_random(std::move(random)),
        m_shards(std::make_shared<ServerStateShards>()) {
    m_sweep_timer = m_timers->SubscribeEvery(
        config::kServerSweepPeriod, [weak = std::weak_ptr(m_shards), timers] {
          if (auto shards = weak.lock()) {
            shards->Sweep(timers->Now());
          }
        });
  }

  ~ShardedServerTable() override { m_timers->Unsubscribe(m_sweep_timer); }

  ShardedServerTable(const ShardedServerTable&) = delete;
  ShardedServerTable& operator=(const ShardedServerTable&) = delete;

  std::optional<ServerId> Acquire(
      const ShardGroup& group,
      const ServerLimits& server_limits,
      const RoutingPolicy& policy,
      const std::vector<ServerId>& excluded) override {
    const TimePoint now = m_timers->Now();
    std::vector<ReplicaView> views = MakeViews(group, server_limits, now);
    if (policy.outlier_ejection && HasEjectableOutlier(views)) {
      views = EjectOutliers(group, server_limits, now);
    }
    for (ReplicaView& view : views) {
      const ServerId& id = group.servers[view.index].id;
      view.excluded =
          std::find(excluded.begin(), excluded.end(), id) != excluded.end();
    }
    RoutingPolicy effective = policy;
    effective.outlier_ejection =
        policy.outlier_ejection && CanEnforceEjections(views);
    // Only a first attempt may be a probe; a retry or hedge should go to a
    // server that is known to work.
    const bool may_probe = excluded.empty();
    for (size_t position :
         RankReplicas(views, effective, may_probe, m_random)) {
      const ServerId& id = group.servers[views[position].index].id;
      if (m_shards->WithServer(id, now, [&](ServerState& state) {
            return state.TryAcquire(effective, now);
          })) {
        return id;
      }
    }
    return std::nullopt;
  }

  void Release(const ServerId& server,
               const SubReply& reply,
               Duration latency) override {
    const TimePoint now = m_timers->Now();
    const double jitter = IsServerFailure(reply.outcome) ? RandomUnit() : 0;
    m_shards->WithExistingServer(server, [&](ServerState& state) {
      state.OnReply(reply, latency, now, jitter);
    });
  }

  void MarkDraining(const ServerId& server, DrainSource source) override {
    const TimePoint now = m_timers->Now();
    m_shards->WithServer(server, now, [&](ServerState& state) {
      state.MarkDraining(source, now);
      return true;
    });
  }

  void ClearDraining(const ServerId& server) override {
    m_shards->WithExistingServer(
        server, [](ServerState& state) { state.ClearDraining(); });
  }

  void SetLiveInstances(uint32_t count) override {
    m_live_instances = std::max<uint32_t>(count, 1);
  }

  // The servers are read one by one. No ejection may come between: with a
  // recovery before it, more servers would seem ejected than ever were.
  std::vector<ServerStatus> Status() const override {
    std::lock_guard lock(m_ejection_mutex);
    return m_shards->Status(m_timers->Now());
  }

 private:
  double RandomUnit() const {
    return static_cast<double>(m_random() >> 11) * 0x1.0p-53;
  }

  // Locks one server at a time, so the views are not a consistent snapshot;
  // TryAcquire() checks again.
  std::vector<ReplicaView> MakeViews(const ShardGroup& group,
                                     const ServerLimits& server_limits,
                                     TimePoint now) {
    std::vector<ReplicaView> views;
    views.reserve(group.servers.size());
    for (size_t i = 0; i < group.servers.size(); ++i) {
      views.push_back(m_shards->WithServer(
          group.servers[i].id, now, [&](ServerState& state) {
            return state.MakeView(server_limits, m_live_instances, now);
          }));
      views.back().index = i;
    }
    return views;
  }

  // Ejects outliers up to the group's limit. Serialized over the whole table,
  // so that concurrent calls can't exceed the limit together.
  std::vector<ReplicaView> EjectOutliers(const ShardGroup& group,
                                         const ServerLimits& server_limits,
                                         TimePoint now) {
    std::lock_guard lock(m_ejection_mutex);
    std::vector<ReplicaView> views = MakeViews(group, server_limits, now);
    for (size_t position : FindOutliers(views)) {
      if (!CanEject(views, position)) {
        continue;
      }
      const ServerId& id = group.servers[views[position].index].id;
      const double jitter = RandomUnit();
      m_shards->WithServer(id, now, [&](ServerState& state) {
        state.Eject(now, jitter);
        return true;
      });
      views[position].ejected = true;
      views[position].probe_due = false;
    }
    return views;
  }

  // Lets Acquire() avoid m_ejection_mutex while there are outliers that can't
  // be ejected.
  static bool HasEjectableOutlier(const std::vector<ReplicaView>& views) {
    const std::vector<size_t> outliers = FindOutliers(views);
    return std::any_of(
        outliers.begin(), outliers.end(),
        [&views](size_t position) { return CanEject(views, position); });
  }

  static bool CanEject(const std::vector<ReplicaView>& views,
                       size_t candidate) {
    size_t ejected = 0;
    size_t others_usable = 0;
    for (size_t i = 0; i < views.size(); ++i) {
      ejected += views[i].ejected ? 1 : 0;
      others_usable +=
          i != candidate && !views[i].ejected && !views[i].draining ? 1 : 0;
    }
    return ejected < MaxEjected(views.size()) && others_usable > 0;
  }

  // False if ejections must be ignored because more servers of the group are
  // ejected than allowed or no other server is usable. This happens if a server
  // is in several groups or its peers drain.
  static bool CanEnforceEjections(const std::vector<ReplicaView>& views) {
    size_t ejected = 0;
    size_t usable = 0;
    for (const ReplicaView& view : views) {
      ejected += view.ejected ? 1 : 0;
      usable += !view.ejected && !view.draining ? 1 : 0;
    }
    return ejected <= MaxEjected(views.size()) && usable > 0;
  }

  TimerService* m_timers;
  RandomSource m_random;
  std::shared_ptr<ServerStateShards> m_shards;
  std::atomic<uint32_t> m_live_instances{1};
  // Locked before the mutex of any shard.
  mutable std::mutex m_ejection_mutex;
  TimerHandle m_sweep_timer;
};

}  // namespace

std::unique_ptr<ServerTable> ServerTable::Create(TimerService* timers,
                                                 RandomSource random) {
  return std::make_unique<ShardedServerTable>(timers, std::move(random));
}

}  // namespace wasabihook
