#include "testing/fake_platform.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace wasabihook::testing {
namespace {

constexpr int64_t kRateWindowSeconds = 10;

int64_t SecondOf(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::seconds>(time.since_epoch)
      .count();
}

auto Fields(const ListedInstance& instance) {
  return std::tie(instance.id, instance.peer_address, instance.data_centre,
                  instance.incarnation, instance.state);
}

}  // namespace

std::string ToString(PlatformCall kind) {
  static constexpr std::array<const char*, kPlatformCallKinds> kNames = {
      "get",    "list",  "watch",          "write",
      "delete", "lease", "list_instances", "announce"};
  return kNames[static_cast<size_t>(kind)];
}

bool IsWrite(PlatformCall kind) {
  return kind == PlatformCall::kWrite || kind == PlatformCall::kDelete ||
         kind == PlatformCall::kLease || kind == PlatformCall::kAnnounce;
}

uint64_t PlatformStats::writes() const {
  uint64_t sum = 0;
  for (size_t kind = 0; kind < kPlatformCallKinds; ++kind) {
    sum += IsWrite(static_cast<PlatformCall>(kind)) ? calls[kind] : 0;
  }
  return sum;
}

uint64_t PlatformStats::reads() const {
  return std::accumulate(calls.begin(), calls.end(), uint64_t{0}) - writes();
}

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

bool FakePlatform::Chance(double probability) {
  return probability > 0 &&
         static_cast<double>(m_random() >> 11) * 0x1.0p-53 < probability;
}

void FakePlatform::CountCall(PlatformCall kind) {
  const int64_t second = SecondOf(m_timers->Now());
  m_calls[static_cast<size_t>(kind)]++;
  m_by_second[second][static_cast<size_t>(kind)]++;
  m_by_second.erase(m_by_second.begin(),
                    m_by_second.lower_bound(second - kRateWindowSeconds));
}

bool FakePlatform::OverRate(PlatformCall kind, int64_t second) {
  const bool write = IsWrite(kind);
  const uint32_t limit =
      write ? m_faults.max_writes_per_s : m_faults.max_reads_per_s;
  uint64_t calls = 0;
  for (size_t other = 0; other < kPlatformCallKinds; ++other) {
    calls += IsWrite(static_cast<PlatformCall>(other)) == write
                 ? m_by_second[second][other]
                 : 0;
  }
  return limit != 0 && calls > limit;
}

FakePlatform::Fate FakePlatform::DrawFate(PlatformCall kind) {
  if (m_faults.down || OverRate(kind, SecondOf(m_timers->Now()))) {
    m_refused++;
    return Fate::kRefuse;
  }
  if (m_faults.drop_requests > 0) {
    m_faults.drop_requests--;
    return Fate::kDrop;
  }
  if (Chance(m_faults.drop_request_probability)) {
    return Fate::kDrop;
  }
  if (!IsWrite(kind)) {
    return Fate::kNormal;
  }
  if (m_faults.lose_write_responses > 0) {
    m_faults.lose_write_responses--;
    return Fate::kLoseResponse;
  }
  if (Chance(m_faults.lose_write_response_probability)) {
    return Fate::kLoseResponse;
  }
  return Chance(m_faults.late_write_probability) ? Fate::kLate : Fate::kNormal;
}

FakePlatform::Plan FakePlatform::PlanCall(PlatformCall kind) {
  std::lock_guard lock(m_mutex);
  CountCall(kind);
  Plan plan{.fate = DrawFate(kind),
            .delay = m_faults.slow,
            .late = Duration(0),
            .lost_after = m_faults.lost_after};
  if (m_faults.slow_jitter > Duration(0)) {
    plan.delay +=
        Duration(m_random() % (m_faults.slow_jitter.count() + uint64_t{1}));
  }
  if (plan.fate == Fate::kLate) {
    plan.late = Duration(m_random() % (m_faults.late_by.count() + uint64_t{1}));
  }
  if (plan.fate != Fate::kNormal && plan.fate != Fate::kRefuse) {
    m_lost++;
  }
  return plan;
}

template <typename Result>
void FakePlatform::Run(const Plan& plan,
                       std::function<Result()> apply,
                       Result refused,
                       Result lost,
                       std::function<void(Result)> done) {
  switch (plan.fate) {
    case Fate::kRefuse:
      After(Duration(0), [done, refused] { done(refused); });
      return;
    case Fate::kDrop:
      After(plan.lost_after, [done, lost] { done(lost); });
      return;
    case Fate::kNormal:
      After(plan.delay, [done, apply] { done(apply()); });
      return;
    case Fate::kLoseResponse:
      After(plan.delay, [apply] { apply(); });
      After(plan.delay + plan.lost_after, [done, lost] { done(lost); });
      return;
    case Fate::kLate:
      After(plan.lost_after, [done, lost] { done(lost); });
      After(plan.lost_after + plan.late, [apply] { apply(); });
      return;
  }
}

void FakePlatform::Get(std::string key, std::function<void(GetResult)> done) {
  Run<GetResult>(
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
  const Plan plan =
      PlanCall(newer_than ? PlatformCall::kWatch : PlatformCall::kList);
  if (newer_than && plan.fate == Fate::kNormal) {
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
  Run<ListResult>(
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
  Run<WriteResult>(
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
  Run<WriteResult>(
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
  Run<Granted>(
      PlanCall(PlatformCall::kLease),
      [this, ttl] {
        std::lock_guard lock(m_mutex);
        const uint64_t id = m_store.GrantLease(ttl);
        After(ttl, [this, id] { LapseLease(id, 1); });
        return Granted(StoreStatus::kOk, id);
      },
      Granted(StoreStatus::kUnavailable, 0), Granted(StoreStatus::kUnknown, 0),
      [done = std::move(done)](Granted granted) {
        done(granted.first, granted.second);
      });
}

void FakePlatform::KeepLeaseAlive(uint64_t id,
                                  std::function<void(StoreStatus)> done) {
  Run<StoreStatus>(
      PlanCall(PlatformCall::kLease),
      [this, id] {
        std::lock_guard lock(m_mutex);
        const auto renewal = m_store.RenewLease(id);
        if (!renewal) {
          return StoreStatus::kNotFound;
        }
        After(renewal->ttl, [this, id, generation = renewal->generation] {
          LapseLease(id, generation);
        });
        return StoreStatus::kOk;
      },
      StoreStatus::kUnavailable, StoreStatus::kUnknown, std::move(done));
}

void FakePlatform::LapseLease(uint64_t id, uint64_t generation) {
  {
    std::lock_guard lock(m_mutex);
    if (!m_store.IsCurrent(id, generation)) {
      return;
    }
    m_store.LapseLease(id);
  }
  CompleteWatches();
}

void FakePlatform::LapseLeases() {
  {
    std::lock_guard lock(m_mutex);
    for (uint64_t id : m_store.Leases()) {
      m_store.LapseLease(id);
    }
  }
  CompleteWatches();
}

void FakePlatform::ListInstances(std::function<void(InstanceListResult)> done) {
  Run<InstanceListResult>(
      PlanCall(PlatformCall::kListInstances),
      [this] {
        std::lock_guard lock(m_mutex);
        return LaggedInstances();
      },
      {.status = StoreStatus::kUnavailable, .instances = {}},
      {.status = StoreStatus::kUnknown, .instances = {}}, std::move(done));
}

InstanceListResult FakePlatform::LaggedInstances() {
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
  Run<StoreStatus>(
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

void FakePlatform::SetFaults(const PlatformFaults& faults) {
  std::lock_guard lock(m_mutex);
  m_faults = faults;
}

PlatformFaults FakePlatform::faults() const {
  std::lock_guard lock(m_mutex);
  return m_faults;
}

PlatformStats FakePlatform::Stats() const {
  std::lock_guard lock(m_mutex);
  PlatformStats stats;
  stats.calls = m_calls;
  const int64_t now = SecondOf(m_timers->Now());
  for (const auto& [second, calls] : m_by_second) {
    if (second >= now - kRateWindowSeconds && second < now) {
      for (size_t kind = 0; kind < kPlatformCallKinds; ++kind) {
        stats.per_second[kind] +=
            static_cast<double>(calls[kind]) / kRateWindowSeconds;
      }
    }
  }
  stats.refused = m_refused;
  stats.conflicts = m_conflicts;
  stats.lost = m_lost;
  stats.keys = m_store.size();
  stats.value_bytes = m_store.value_bytes();
  stats.revision = m_store.revision();
  return stats;
}

std::vector<KeyValue> FakePlatform::Contents(const std::string& prefix) const {
  std::lock_guard lock(m_mutex);
  return m_store.List(prefix).entries;
}

}  // namespace wasabihook::testing
