#include "decision/routing/admission_controller.h"

#include <map>
#include <mutex>
#include <utility>

#include "decision/routing/admission_pool.h"

namespace wasabihook {
namespace {

// A pool and its mutex. Expiry timers hold weak references to it.
struct LockedPool {
  std::mutex mutex;
  AdmissionPool pool;
};
using LockedPoolPtr = std::shared_ptr<LockedPool>;

void InvokeCallbacks(const AdmissionDecisions& decisions) {
  for (const auto& [done, result] : decisions) {
    done(result);
  }
}

class PooledAdmissionController : public AdmissionController {
 public:
  explicit PooledAdmissionController(TimerService* timers) : m_timers(timers) {}

  void Request(AdmissionRequest request, Callback done) override {
    LockedPoolPtr pool = FindOrCreatePool(request.pool);
    const TeamId team = request.team;
    const TimePoint now = m_timers->Now();
    AdmissionDecisions decisions;
    std::optional<AdmissionPool::QueueEntry> queued;
    {
      std::lock_guard lock(pool->mutex);
      queued = pool->pool.Request(std::move(request), std::move(done), now,
                                  &decisions);
    }
    if (queued) {
      ScheduleExpiry(pool, team, *queued, now);
    }
    InvokeCallbacks(decisions);
  }

  void Release(const TeamId& team,
               const IndexSetId& pool_id,
               Duration latency,
               bool overloaded) override {
    LockedPoolPtr pool = FindOrCreatePool(pool_id);
    const TimePoint now = m_timers->Now();
    AdmissionDecisions decisions;
    {
      std::lock_guard lock(pool->mutex);
      pool->pool.Release(team, latency, overloaded, now, &decisions);
    }
    InvokeCallbacks(decisions);
  }

  void SetPoolCapacity(const IndexSetId& pool_id, uint32_t requests) override {
    LockedPoolPtr pool = FindOrCreatePool(pool_id);
    const TimePoint now = m_timers->Now();
    AdmissionDecisions decisions;
    {
      std::lock_guard lock(pool->mutex);
      pool->pool.SetCapacity(requests, now, &decisions);
    }
    InvokeCallbacks(decisions);
  }

 private:
  LockedPoolPtr FindOrCreatePool(const IndexSetId& id) {
    std::lock_guard lock(m_mutex);
    LockedPoolPtr& pool = m_pools[id];
    if (pool == nullptr) {
      pool = std::make_shared<LockedPool>();
    }
    return pool;
  }

  // Schedules the refusal of the request at its latest start time. Has no
  // effect if the request has left the queue by then.
  void ScheduleExpiry(const LockedPoolPtr& pool,
                      const TeamId& team,
                      const AdmissionPool::QueueEntry& queued,
                      TimePoint now) {
    m_timers->SubscribeOnce(queued.latest_start - now,
                            [timers = m_timers, weak = std::weak_ptr(pool),
                             team, ticket = queued.ticket] {
                              LockedPoolPtr pool = weak.lock();
                              if (pool == nullptr) {
                                return;
                              }
                              const TimePoint now = timers->Now();
                              AdmissionDecisions decisions;
                              {
                                std::lock_guard lock(pool->mutex);
                                pool->pool.Expire(team, ticket, now,
                                                  &decisions);
                              }
                              InvokeCallbacks(decisions);
                            });
  }

  TimerService* m_timers;
  std::mutex m_mutex;
  std::map<IndexSetId, LockedPoolPtr> m_pools;
};

}  // namespace

std::unique_ptr<AdmissionController> AdmissionController::Create(
    TimerService* timers) {
  return std::make_unique<PooledAdmissionController>(timers);
}

}  // namespace wasabihook
