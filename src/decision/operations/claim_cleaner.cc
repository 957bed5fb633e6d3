#include "decision/operations/claim_cleaner.h"

#include <utility>

#include "decision/operations/claim_record.h"
#include "decision/routing/rendezvous.h"

namespace wasabihook {

// One call to the platform is outstanding at a time.
class ClaimCleaner::Sweep : public std::enable_shared_from_this<Sweep> {
 public:
  explicit Sweep(ClaimCleanerDeps deps) : m_deps(std::move(deps)) {}

  void Tick() {
    bool idle = false;
    {
      std::lock_guard lock(m_mutex);
      m_calls_left = config::kClaimCleanerCallsPerTick;
      idle = !std::exchange(m_busy, true);
    }
    if (idle) {
      StartSweepIfDue();
      Continue();
    }
  }

  void Close() {
    std::lock_guard lock(m_mutex);
    m_closed = true;
  }

  uint64_t removed() const {
    std::lock_guard lock(m_mutex);
    return m_removed;
  }

 private:
  struct Bucket {
    std::string prefix;
    Duration retention{0};
  };

  void StartSweepIfDue() {
    const TimePoint now = m_deps.timers->Now();
    {
      std::lock_guard lock(m_mutex);
      if (!m_buckets.empty() || !m_stale.empty() || now < m_next_sweep) {
        return;
      }
      m_next_sweep = now + config::kClaimSweepPeriod;
    }
    std::deque<Bucket> buckets = OwnBuckets();
    std::lock_guard lock(m_mutex);
    m_buckets = std::move(buckets);
  }

  std::deque<Bucket> OwnBuckets() const {
    const std::vector<std::string> live = m_deps.live_instances();
    std::deque<Bucket> buckets;
    for (const auto& [team, retention] : m_deps.teams()) {
      for (uint32_t i = 0; i < config::kClaimBuckets; ++i) {
        std::string prefix = ClaimBucketPrefix(team, i);
        const std::vector<size_t> owner = RendezvousTopK(prefix, live, 1);
        if (!owner.empty() && live[owner[0]] == m_deps.self.value()) {
          buckets.push_back({std::move(prefix), retention});
        }
      }
    }
    return buckets;
  }

  // Makes the next call if the budget allows.
  void Continue() {
    std::unique_lock lock(m_mutex);
    if (m_closed || m_calls_left == 0 ||
        (m_stale.empty() && m_buckets.empty())) {
      m_busy = false;
      return;
    }
    m_calls_left--;
    if (!m_stale.empty()) {
      const KeyValue stale = std::move(m_stale.front());
      m_stale.pop_front();
      lock.unlock();
      Remove(stale);
      return;
    }
    Bucket bucket = std::move(m_buckets.front());
    m_buckets.pop_front();
    lock.unlock();
    ListBucket(std::move(bucket));
  }

  void ListBucket(Bucket bucket) {
    std::string prefix = bucket.prefix;
    m_deps.store->List(std::move(prefix), std::nullopt, Duration(0),
                       [self = shared_from_this(),
                        bucket = std::move(bucket)](const ListResult& result) {
                         if (result.status == StoreStatus::kOk) {
                           self->AddStale(result.entries, bucket.retention);
                         } else {
                           self->PauseUntilNextTick();
                           self->Requeue(bucket);
                         }
                         self->Continue();
                       });
  }

  void AddStale(const std::vector<KeyValue>& entries, Duration retention) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        retention + config::kClockMargin);
    const WallTime limit = m_deps.timers->WallNow() - age;
    std::lock_guard lock(m_mutex);
    for (const KeyValue& entry : entries) {
      const std::optional<ClaimRecord> record = DecodeClaim(entry.value);
      if (record && record->claimed_at < limit) {
        m_stale.push_back({entry.key, {}, entry.revision});
      }
    }
  }

  void Remove(const KeyValue& stale) {
    m_deps.store->Delete(
        stale.key, stale.revision,
        [self = shared_from_this(), stale](const WriteResult& result) {
          self->OnRemoved(stale, result.status);
        });
  }

  void OnRemoved(const KeyValue& stale, StoreStatus status) {
    if (status == StoreStatus::kUnavailable ||
        status == StoreStatus::kUnknown) {
      PauseUntilNextTick();
      std::lock_guard lock(m_mutex);
      m_stale.push_back(stale);
    } else {
      std::lock_guard lock(m_mutex);
      m_removed += status == StoreStatus::kOk ? 1 : 0;
    }
    Continue();
  }

  void Requeue(const Bucket& bucket) {
    std::lock_guard lock(m_mutex);
    m_buckets.push_back(bucket);
  }

  void PauseUntilNextTick() {
    std::lock_guard lock(m_mutex);
    m_calls_left = 0;
  }

  const ClaimCleanerDeps m_deps;
  mutable std::mutex m_mutex;
  bool m_closed = false;
  // A call is outstanding or about to be made.
  bool m_busy = false;
  uint32_t m_calls_left = 0;
  TimePoint m_next_sweep;
  std::deque<Bucket> m_buckets;
  std::deque<KeyValue> m_stale;  // Without values.
  uint64_t m_removed = 0;
};

ClaimCleaner::ClaimCleaner(ClaimCleanerDeps deps)
    : m_deps(std::move(deps)), m_sweep(std::make_shared<Sweep>(m_deps)) {
  m_timer = m_deps.timers->SubscribeEvery(
      config::kClaimCleanerTick, [sweep = std::weak_ptr<Sweep>(m_sweep)] {
        if (const auto alive = sweep.lock()) {
          alive->Tick();
        }
      });
}

ClaimCleaner::~ClaimCleaner() {
  m_deps.timers->Unsubscribe(m_timer);
  m_sweep->Close();
}

uint64_t ClaimCleaner::removed() const {
  return m_sweep->removed();
}

}  // namespace wasabihook
