// Fault selection, counters and test control of FakePlatform.
#include <numeric>
#include <utility>

#include "testing/fake_platform.h"

namespace wasabihook::testing {
namespace {

constexpr int64_t kRateWindowSeconds = 10;

int64_t SecondOf(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::seconds>(time.since_epoch)
      .count();
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

bool FakePlatform::RandomBool(double probability) {
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

bool FakePlatform::ExceedsRateLimit(PlatformCall kind, int64_t second) {
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

FakePlatform::CallFault FakePlatform::ChooseFault(PlatformCall kind) {
  if (m_faults.down || ExceedsRateLimit(kind, SecondOf(m_timers->Now()))) {
    m_refused++;
    return CallFault::kRefuse;
  }
  if (m_faults.drop_requests > 0) {
    m_faults.drop_requests--;
    return CallFault::kDrop;
  }
  if (RandomBool(m_faults.drop_request_probability)) {
    return CallFault::kDrop;
  }
  if (!IsWrite(kind)) {
    return CallFault::kNormal;
  }
  if (m_faults.lose_write_responses > 0) {
    m_faults.lose_write_responses--;
    return CallFault::kLoseResponse;
  }
  if (RandomBool(m_faults.lose_write_response_probability)) {
    return CallFault::kLoseResponse;
  }
  return RandomBool(m_faults.late_write_probability) ? CallFault::kLate
                                                     : CallFault::kNormal;
}

FakePlatform::CallPlan FakePlatform::PlanCall(PlatformCall kind) {
  std::lock_guard lock(m_mutex);
  CountCall(kind);
  CallPlan plan{.fault = ChooseFault(kind),
                .delay = m_faults.slow,
                .late = Duration(0),
                .lost_after = m_faults.lost_after};
  if (m_faults.slow_jitter > Duration(0)) {
    plan.delay +=
        Duration(m_random() % (m_faults.slow_jitter.count() + uint64_t{1}));
  }
  if (plan.fault == CallFault::kLate) {
    plan.late = Duration(m_random() % (m_faults.late_by.count() + uint64_t{1}));
  }
  if (plan.fault != CallFault::kNormal && plan.fault != CallFault::kRefuse) {
    m_lost++;
  }
  return plan;
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
