#ifndef SRC_TESTING_FAKE_PLATFORM_H_
#define SRC_TESTING_FAKE_PLATFORM_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "testing/fake_store.h"
#include "wasabihook/platform.h"
#include "wasabihook/random_source.h"
#include "wasabihook/timer_service.h"

namespace wasabihook::testing {

enum class PlatformCall : uint8_t {
  kGet,
  kList,
  kWatch,
  kWrite,
  kDelete,
  kLease,
  kListInstances,
  kAnnounce,
};
inline constexpr size_t kPlatformCallKinds = 8;
std::string ToString(PlatformCall kind);
// True for the calls that change the store.
bool IsWrite(PlatformCall kind);

// Faults that the fake injects. Each affected call decrements the count of its
// fault.
struct PlatformFaults {
  // Refuses every call before it takes effect.
  bool down = false;
  // Delay before a call takes effect.
  Duration slow{0};
  // Upper bound of an additional random delay before a call takes effect.
  Duration slow_jitter{0};
  // Writes that take effect but lose their response.
  uint32_t lose_write_responses = 0;
  double lose_write_response_probability = 0;
  // Calls that are dropped before they take effect.
  uint32_t drop_requests = 0;
  double drop_request_probability = 0;
  // Writes that are reported as kUnknown and take effect up to `late_by` later.
  double late_write_probability = 0;
  Duration late_by{0};
  // Time from a lost message until the caller receives kUnknown.
  Duration lost_after{0};
  // Age of the instance list that ListInstances() returns.
  Duration list_lag{0};
  // An instance is removed from the list if it is not announced for this long;
  // 0 disables the removal.
  Duration instance_ttl{0};
  // Calls above these rates are refused without effect; 0 means no limit.
  uint32_t max_writes_per_s = 0;
  uint32_t max_reads_per_s = 0;
};

// Counters since the start. Calls are counted when received, by kind.
struct PlatformStats {
  std::array<uint64_t, kPlatformCallKinds> calls{};
  // Mean rate of the last ten full seconds.
  std::array<double, kPlatformCallKinds> per_second{};
  uint64_t refused = 0;
  uint64_t conflicts = 0;
  uint64_t lost = 0;
  uint64_t keys = 0;
  uint64_t value_bytes = 0;
  Revision revision;

  uint64_t count(PlatformCall kind) const {
    return calls[static_cast<size_t>(kind)];
  }
  uint64_t writes() const;
  uint64_t reads() const;
};

// In-memory fake of the platform's key-value service and instance list, with
// fault injection. Thread-safe; callbacks run on the timer service.
class FakePlatform : public KeyValueStore, public InstanceList {
 public:
  // `timers` must not run callbacks while the fake is being destroyed.
  FakePlatform(TimerService* timers, RandomSource random);

  void Get(std::string key, std::function<void(GetResult)> done) override;
  void List(std::string prefix,
            std::optional<Revision> newer_than,
            Duration wait,
            std::function<void(ListResult)> done) override;
  void CompareAndSwap(std::string key,
                      Revision expected,
                      std::string value,
                      std::function<void(WriteResult)> done) override;
  void Delete(std::string key,
              Revision expected,
              std::function<void(WriteResult)> done) override;
  void ListInstances(std::function<void(InstanceListResult)> done) override;
  void Announce(ListedInstance self,
                std::function<void(StoreStatus)> done) override;

  // Like CompareAndSwap(); the key is removed when the lease expires.
  void CompareAndSwapWithLease(std::string key,
                               Revision expected,
                               std::string value,
                               uint64_t lease,
                               std::function<void(WriteResult)> done);
  // The id is 0 unless the status is kOk.
  void GrantLease(Duration ttl,
                  std::function<void(StoreStatus, uint64_t id)> done);
  void KeepLeaseAlive(uint64_t id, std::function<void(StoreStatus)> done);

  // Test control.
  void SetFaults(const PlatformFaults& faults);
  PlatformFaults faults() const;
  // Expires all leases now, as if their holders had paused.
  void ExpireLeases();
  void RemoveInstance(const InstanceId& id);
  PlatformStats Stats() const;
  // Entries below `prefix`. Not counted as a call and not subject to faults.
  std::vector<KeyValue> Contents(const std::string& prefix) const;

 private:
  enum class CallFault : uint8_t {
    kNormal,
    kRefuse,
    kDrop,
    kLoseResponse,
    kLate
  };
  struct CallPlan {
    CallFault fault = CallFault::kNormal;
    Duration delay{0};
    Duration late{0};
    Duration lost_after{0};
  };
  struct Watch {
    std::string prefix;
    Revision newer_than;
    TimerHandle timer;
    std::function<void(ListResult)> done;
  };
  struct InstanceVersion {
    TimePoint at;
    std::map<InstanceId, ListedInstance> instances;
  };

  CallPlan PlanCall(PlatformCall kind);
  CallFault ChooseFault(PlatformCall kind);
  bool ExceedsRateLimit(PlatformCall kind, int64_t second);
  void CountCall(PlatformCall kind);
  bool RandomBool(double probability);
  // Executes a call as planned: runs `apply` unless the call is refused or
  // dropped, and passes its result, `refused` or `lost` to `done`.
  template <typename Result>
  void RunCall(const CallPlan& plan,
               std::function<Result()> apply,
               Result refused,
               Result lost,
               std::function<void(Result)> done);
  WriteResult ApplyWrite(const std::function<WriteResult(FakeStore&)>& write);
  // Completes the watches whose prefix has changed.
  void CompleteWatches();
  void StartWatch(std::string prefix,
                  Revision newer_than,
                  Duration wait,
                  std::function<void(ListResult)> done);
  void EndWatch(uint64_t id);
  void ExpireLease(uint64_t id, uint64_t generation);
  InstanceListResult InstancesAtLag();
  StoreStatus ApplyAnnounce(const ListedInstance& self);
  void PublishInstances(std::map<InstanceId, ListedInstance> instances);
  // Runs `callback` after `delay` unless the fake has been destroyed by then.
  TimerHandle After(Duration delay, std::function<void()> callback);

  TimerService* const m_timers;
  const RandomSource m_random;

  mutable std::mutex m_mutex;
  FakeStore m_store;
  PlatformFaults m_faults;
  std::map<uint64_t, Watch> m_watches;
  uint64_t m_next_watch = 1;
  // Versions of the instance list, oldest first. The front is the one that
  // callers see under the list lag.
  std::deque<InstanceVersion> m_instances;
  std::map<InstanceId, uint64_t> m_announcements;
  std::array<uint64_t, kPlatformCallKinds> m_calls{};
  uint64_t m_refused = 0;
  uint64_t m_conflicts = 0;
  uint64_t m_lost = 0;
  // Calls by kind for each of the latest seconds.
  std::map<int64_t, std::array<uint64_t, kPlatformCallKinds>> m_by_second;
  // Pending callbacks hold a weak pointer, which expires with the fake.
  const std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_PLATFORM_H_
