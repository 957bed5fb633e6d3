#include "testing/fake_platform.h"

#include <tuple>
#include <utility>

namespace wasabihook::testing {
namespace {

auto Fields(const ListedInstance& instance) {
  return std::tie(instance.id, instance.peer_address, instance.data_centre,
                  instance.incarnation, instance.state);
}

}  // namespace

FakePlatform::FakePlatform(TimerService* timers, RandomSource random)
    : m_timers(timers), m_random(std::move(random)) {
  m_instances.push_back({TimePoint{Duration::min()}, {}});
}

TimerHandle FakePlatform::After(Duration delay,
                                std::function<void()> callback) {
  return m_timers->SubscribeOnce(delay, [alive = std::weak_ptr<bool>(m_alive),
                                         callback = std::move(callback)] {
    if (!alive.expired()) {
      callback();
    }
  });
}

template <typename Result>
void FakePlatform::RunCall(const CallPlan& plan,
                           std::function<Result()> apply,
                           Result refused,
                           Result lost,
                           std::function<void(Result)> done) {
  switch (plan.fault) {
    case CallFault::kRefuse:
      After(Duration(0), [done, refused] { done(refused); });
      return;
    case CallFault::kDrop:
      After(plan.lost_after, [done, lost] { done(lost); });
      return;
    case CallFault::kNormal:
      After(plan.delay, [done, apply] { done(apply()); });
      return;
    case CallFault::kLoseResponse:
      After(plan.delay, [apply] { apply(); });
      After(plan.delay + plan.lost_after, [done, lost] { done(lost); });
      return;
    case CallFault::kLate:
      After(plan.lost_after, [done, lost] { done(lost); });
      After(plan.lost_after + plan.late, [apply] { apply(); });
      return;
  }
}

void FakePlatform::Get(std::string key, std::function<void(GetResult)> done) {
  RunCall<GetResult>(
      PlanCall(PlatformCall::kGet),
      [this, key = std::move(key)] {
        std::lock_guard lock(m_mutex);
        return m_store.Get(key);
      },
      {.status = StoreStatus::kUnavailable, .entry = {}},
      {.status = StoreStatus::kUnknown, .entry = {}}, std::move(done));
}

void FakePlatform::List(std::string prefix,
                        std::optional<Revision> newer_than,
                        Duration wait,
                        std::function<void(ListResult)> done) {
  const CallPlan plan =
      PlanCall(newer_than ? PlatformCall::kWatch : PlatformCall::kList);
  if (newer_than && plan.fault == CallFault::kNormal) {
    After(plan.delay, [this, prefix = std::move(prefix), wait,
                       revision = *newer_than, done = std::move(done)] {
      StartWatch(prefix, revision, wait, done);
    });
    return;
  }
  ListResult refused;
  refused.status = StoreStatus::kUnavailable;
  ListResult lost;
  lost.status = StoreStatus::kUnknown;
  RunCall<ListResult>(
      plan,
      [this, prefix = std::move(prefix)] {
        std::lock_guard lock(m_mutex);
        return m_store.List(prefix);
      },
      refused, lost, std::move(done));
}

void FakePlatform::StartWatch(std::string prefix,
                              Revision newer_than,
                              Duration wait,
                              std::function<void(ListResult)> done) {
  ListResult now;
  {
    std::lock_guard lock(m_mutex);
    if (m_store.LatestChange(prefix) <= newer_than) {
      const uint64_t id = m_next_watch++;
      Watch& watch = m_watches[id];
      watch = {std::move(prefix), newer_than, {}, std::move(done)};
      watch.timer = After(wait, [this, id] { EndWatch(id); });
      return;
    }
    now = m_store.List(prefix);
  }
  done(std::move(now));
}

void FakePlatform::EndWatch(uint64_t id) {
  std::function<void(ListResult)> done;
  ListResult result;
  {
    std::lock_guard lock(m_mutex);
    auto node = m_watches.extract(id);
    if (node.empty()) {
      return;
    }
    result = m_store.List(node.mapped().prefix);
    done = std::move(node.mapped().done);
    m_timers->Unsubscribe(node.mapped().timer);
  }
  done(std::move(result));
}

void FakePlatform::CompleteWatches() {
  std::vector<uint64_t> ready;
  {
    std::lock_guard lock(m_mutex);
    for (const auto& [id, watch] : m_watches) {
      if (m_store.LatestChange(watch.prefix) > watch.newer_than) {
        ready.push_back(id);
      }
    }
  }
  for (uint64_t id : ready) {
    EndWatch(id);
  }
}

WriteResult FakePlatform::ApplyWrite(
    const std::function<WriteResult(FakeStore&)>& write) {
  WriteResult result;
  {
    std::lock_guard lock(m_mutex);
    result = write(m_store);
    m_conflicts += result.status == StoreStatus::kConflict ? 1 : 0;
  }
  if (result.status == StoreStatus::kOk) {
    CompleteWatches();
  }
  return result;
}

void FakePlatform::CompareAndSwap(std::string key,
                                  Revision expected,
                                  std::string value,
                                  std::function<void(WriteResult)> done) {
  CompareAndSwapWithLease(std::move(key), expected, std::move(value), 0,
                          std::move(done));
}

void FakePlatform::CompareAndSwapWithLease(
    std::string key,
    Revision expected,
    std::string value,
    uint64_t lease,
    std::function<void(WriteResult)> done) {
  WriteResult lost;
  lost.status = StoreStatus::kUnknown;
  RunCall<WriteResult>(
      PlanCall(PlatformCall::kWrite),
      [this, key = std::move(key), expected, value = std::move(value), lease] {
        return ApplyWrite([&](FakeStore& store) {
          return store.CompareAndSwap(key, expected, value, lease);
        });
      },
      WriteResult{}, lost, std::move(done));
}

void FakePlatform::Delete(std::string key,
                          Revision expected,
                          std::function<void(WriteResult)> done) {
  WriteResult lost;
  lost.status = StoreStatus::kUnknown;
  RunCall<WriteResult>(
      PlanCall(PlatformCall::kDelete),
      [this, key = std::move(key), expected] {
        return ApplyWrite(
            [&](FakeStore& store) { return store.Delete(key, expected); });
      },
      WriteResult{}, lost, std::move(done));
}

void FakePlatform::GrantLease(
    Duration ttl,
    std::function<void(StoreStatus, uint64_t id)> done) {
  using Granted = std::pair<StoreStatus, uint64_t>;
  RunCall<Granted>(
      PlanCall(PlatformCall::kLease),
      [this, ttl] {
        std::lock_guard lock(m_mutex);
        const uint64_t id = m_store.GrantLease(ttl);
        After(ttl, [this, id] { ExpireLease(id, 1); });
        return Granted(StoreStatus::kOk, id);
      },
      Granted(StoreStatus::kUnavailable, 0), Granted(StoreStatus::kUnknown, 0),
      [done = std::move(done)](Granted granted) {
        done(granted.first, granted.second);
      });
}

void FakePlatform::KeepLeaseAlive(uint64_t id,
                                  std::function<void(StoreStatus)> done) {
  RunCall<StoreStatus>(
      PlanCall(PlatformCall::kLease),
      [this, id] {
        std::lock_guard lock(m_mutex);
        const auto renewal = m_store.RenewLease(id);
        if (!renewal) {
          return StoreStatus::kNotFound;
        }
        After(renewal->ttl, [this, id, generation = renewal->generation] {
          ExpireLease(id, generation);
        });
        return StoreStatus::kOk;
      },
      StoreStatus::kUnavailable, StoreStatus::kUnknown, std::move(done));
}

void FakePlatform::ExpireLease(uint64_t id, uint64_t generation) {
  {
    std::lock_guard lock(m_mutex);
    if (!m_store.IsCurrent(id, generation)) {
      return;
    }
    m_store.ExpireLease(id);
  }
  CompleteWatches();
}

void FakePlatform::ExpireLeases() {
  {
    std::lock_guard lock(m_mutex);
    for (uint64_t id : m_store.Leases()) {
      m_store.ExpireLease(id);
    }
  }
  CompleteWatches();
}

void FakePlatform::ListInstances(std::function<void(InstanceListResult)> done) {
  RunCall<InstanceListResult>(
      PlanCall(PlatformCall::kListInstances),
      [this] {
        std::lock_guard lock(m_mutex);
        return InstancesAtLag();
      },
      {.status = StoreStatus::kUnavailable, .instances = {}},
      {.status = StoreStatus::kUnknown, .instances = {}}, std::move(done));
}

InstanceListResult FakePlatform::InstancesAtLag() {
  const TimePoint seen = m_timers->Now() - m_faults.list_lag;
  while (m_instances.size() > 1 && m_instances[1].at <= seen) {
    m_instances.pop_front();
  }
  InstanceListResult result{.status = StoreStatus::kOk, .instances = {}};
  for (const auto& [id, instance] : m_instances.front().instances) {
    result.instances.push_back(instance);
  }
  return result;
}

void FakePlatform::Announce(ListedInstance self,
                            std::function<void(StoreStatus)> done) {
  RunCall<StoreStatus>(
      PlanCall(PlatformCall::kAnnounce),
      [this, self = std::move(self)] { return ApplyAnnounce(self); },
      StoreStatus::kUnavailable, StoreStatus::kUnknown, std::move(done));
}

StoreStatus FakePlatform::ApplyAnnounce(const ListedInstance& self) {
  std::lock_guard lock(m_mutex);
  const uint64_t announcement = ++m_announcements[self.id];
  if (m_faults.instance_ttl > Duration(0)) {
    After(m_faults.instance_ttl, [this, id = self.id, announcement] {
      std::unique_lock lock(m_mutex);
      if (m_announcements[id] == announcement) {
        lock.unlock();
        RemoveInstance(id);
      }
    });
  }
  auto instances = m_instances.back().instances;
  auto [it, added] = instances.try_emplace(self.id, self);
  if (added || Fields(it->second) != Fields(self)) {
    it->second = self;
    PublishInstances(std::move(instances));
  }
  return StoreStatus::kOk;
}

void FakePlatform::PublishInstances(
    std::map<InstanceId, ListedInstance> instances) {
  m_instances.push_back({m_timers->Now(), std::move(instances)});
}

void FakePlatform::RemoveInstance(const InstanceId& id) {
  std::lock_guard lock(m_mutex);
  auto instances = m_instances.back().instances;
  if (instances.erase(id) > 0) {
    PublishInstances(std::move(instances));
  }
}

}  // namespace wasabihook::testing
