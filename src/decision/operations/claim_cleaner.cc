#include "decision/operations/claim_cleaner.h"

#include <utility>

#include "decision/operations/claim_record.h"
#include "decision/routing/rendezvous.h"

namespace wasabihook {

// Scans the assigned buckets and deletes expired claims, with one platform call
// outstanding at a time.
class ClaimCleaner::Sweep : public std::enable_shared_from_this<Sweep> {
 public:
  explicit Sweep(ClaimCleanerDeps deps) : m_deps(std::move(deps)) {}

  void OnTimer() {
    bool idle = false;
    {
      std::lock_guard lock(m_mutex);
      m_calls_left = config::kClaimCleanerCallsPerPeriod;
      idle = !std::exchange(m_busy, true);
    }
    if (idle) {
      StartSweepIfDue();
      StartNextCall();
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
      if (!m_buckets.empty() || !m_expired.empty() || now < m_next_sweep) {
        return;
      }
      m_next_sweep = now + config::kClaimSweepPeriod;
    }
    std::deque<Bucket> buckets = AssignedBuckets();
    std::lock_guard lock(m_mutex);
    m_buckets = std::move(buckets);
  }

  std::deque<Bucket> AssignedBuckets() const {
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

  // Starts the next platform call unless the limit of this period is reached.
  void StartNextCall() {
    std::unique_lock lock(m_mutex);
    if (m_closed || m_calls_left == 0 ||
        (m_expired.empty() && m_buckets.empty())) {
      m_busy = false;
      return;
    }
    m_calls_left--;
    if (!m_expired.empty()) {
      const KeyValue expired = std::move(m_expired.front());
      m_expired.pop_front();
      lock.unlock();
      Remove(expired);
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
                           self->AddExpired(result.entries, bucket.retention);
                         } else {
                           self->PauseUntilNextPeriod();
                           self->Requeue(bucket);
                         }
                         self->StartNextCall();
                       });
  }

  void AddExpired(const std::vector<KeyValue>& entries, Duration retention) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        retention + config::kClockMargin);
    const WallTime limit = m_deps.timers->WallNow() - age;
    std::lock_guard lock(m_mutex);
    for (const KeyValue& entry : entries) {
      const std::optional<ClaimRecord> record = DecodeClaim(entry.value);
      if (record && record->claimed_at < limit) {
        m_expired.push_back({entry.key, {}, entry.revision});
      }
    }
  }

  void Remove(const KeyValue& expired) {
    m_deps.store->Delete(
        expired.key, expired.revision,
        [self = shared_from_this(), expired](const WriteResult& result) {
          self->OnRemoved(expired, result.status);
        });
  }

  void OnRemoved(const KeyValue& expired, StoreStatus status) {
    if (status == StoreStatus::kUnavailable ||
        status == StoreStatus::kUnknown) {
      PauseUntilNextPeriod();
      std::lock_guard lock(m_mutex);
      m_expired.push_back(expired);
    } else {
      std::lock_guard lock(m_mutex);
      m_removed += status == StoreStatus::kOk ? 1 : 0;
    }
    StartNextCall();
  }

  void Requeue(const Bucket& bucket) {
    std::lock_guard lock(m_mutex);
    m_buckets.push_back(bucket);
  }

  void PauseUntilNextPeriod() {
    std::lock_guard lock(m_mutex);
    m_calls_left = 0;
  }

  const ClaimCleanerDeps m_deps;
  mutable std::mutex m_mutex;
  bool m_closed = false;
  // A platform call is outstanding or about to start.
  bool m_busy = false;
  uint32_t m_calls_left = 0;
  TimePoint m_next_sweep;
  std::deque<Bucket> m_buckets;
  std::deque<KeyValue> m_expired;  // Key and revision only.
  uint64_t m_removed = 0;
};

ClaimCleaner::ClaimCleaner(ClaimCleanerDeps deps)
    : m_deps(std::move(deps)), m_sweep(std::make_shared<Sweep>(m_deps)) {
  m_timer = m_deps.timers->SubscribeEvery(
      config::kClaimCleanerPeriod, [sweep = std::weak_ptr<Sweep>(m_sweep)] {
        if (const auto alive = sweep.lock()) {
          alive->OnTimer();
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
