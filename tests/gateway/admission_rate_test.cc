// Tests of the admission of requests to an overloaded service.

#include "gateway/admission_rate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <vector>

namespace wasabihook::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration since_start) {
  return TimePoint{seconds(1000)} + since_start;
}

// Model of the shards of a scatter. In each time slot, each shard serves a
// fixed number of requests, chosen at random and independently of the other
// shards, and rejects the rest.
class OverloadedShards {
 public:
  OverloadedShards(size_t shards, size_t required, uint32_t capacity_per_slot)
      : m_rates(shards), m_required(required), m_capacity(capacity_per_slot) {}

  // Runs `queries` queries in the time slot that begins at `now`. Returns the
  // number of queries that got enough parts.
  uint32_t RunQueries(uint32_t queries, TimePoint now, bool limited) {
    std::vector<std::vector<bool>> parts(queries);
    std::vector<std::vector<uint32_t>> received(m_rates.size());
    std::uniform_real_distribution<double> uniform(0, 1);
    m_sent = 0;
    for (uint32_t query = 0; query < queries; ++query) {
      const double draw = uniform(m_random);
      std::vector<bool> admitted(m_rates.size(), true);
      for (size_t shard = 0; limited && shard < m_rates.size(); ++shard)
        admitted[shard] = m_rates[shard].Admit(0, draw, now);
      const auto count =
          static_cast<size_t>(std::ranges::count(admitted, true));
      parts[query].resize(m_rates.size());
      if (count < m_required)
        continue;
      for (size_t shard = 0; shard < m_rates.size(); ++shard) {
        if (admitted[shard])
          received[shard].push_back(query);
      }
    }
    for (size_t shard = 0; shard < m_rates.size(); ++shard)
      Serve(shard, received[shard], now, &parts);
    return static_cast<uint32_t>(
        std::ranges::count_if(parts, [this](const std::vector<bool>& query) {
          return static_cast<size_t>(std::ranges::count(query, true)) >=
                 m_required;
        }));
  }
  size_t sent() const { return m_sent; }

 private:
  void Serve(size_t shard,
             std::vector<uint32_t> received,
             TimePoint now,
             std::vector<std::vector<bool>>* parts) {
    m_sent += received.size();
    std::ranges::shuffle(received, m_random);
    for (size_t i = 0; i < received.size(); ++i) {
      if (i < m_capacity)
        (*parts)[received[i]][shard] = true;
      else
        m_rates[shard].OnRejected(now);
    }
  }

  std::mt19937 m_random{20261204};
  std::vector<AdmissionRate> m_rates;
  const size_t m_required;
  const uint32_t m_capacity;
  size_t m_sent = 0;
};

struct LoadResult {
  uint32_t served = 0;
  size_t sent = 0;
};

// Runs 100 time slots of 100 ms with `queries` queries in each. Counts the
// slots after the first ten.
LoadResult SimulateOverload(uint32_t queries, uint32_t capacity, bool limited) {
  OverloadedShards shards(20, 18, capacity);
  LoadResult out;
  for (int slot = 0; slot < 100; ++slot) {
    const uint32_t served =
        shards.RunQueries(queries, At(milliseconds(100) * slot), limited);
    // The limit adapts in the first second.
    if (slot < 10)
      continue;
    out.served += served;
    out.sent += shards.sent();
  }
  return out;
}

// Guards against a collapse of goodput under overload: if each shard rejects a
// quarter of the parts independently, hardly any query gets enough parts. The
// model has no queues and no retries, so each rejected part is lost.
TEST(AdmissionRate, ScatterUnderOverloadKeepsGoodput) {
  constexpr uint32_t kCapacity = 30;
  const LoadResult unlimited = SimulateOverload(40, kCapacity, false);
  const LoadResult limited = SimulateOverload(40, kCapacity, true);
  const uint32_t possible = kCapacity * 90;
  EXPECT_LT(unlimited.served, possible / 4);
  EXPECT_GT(limited.served, possible / 2);
  EXPECT_LT(limited.sent, unlimited.sent);
}

// Guards against rejected requests while there is capacity.
TEST(AdmissionRate, LoadBelowTheCapacityIsNotLimited) {
  constexpr uint32_t kCapacity = 30;
  EXPECT_EQ(SimulateOverload(28, kCapacity, true).served, 28U * 90);
}

TEST(AdmissionRate, LimitIsLiftedWhenTheDemandFalls) {
  AdmissionRate rate;
  Duration now{0};
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(5);
    if (rate.Admit(0, 0.5, At(now)) && i % 2 == 0)
      rate.OnRejected(At(now));
  }
  EXPECT_TRUE(rate.limited());
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(100);
    rate.Admit(0, 0.99, At(now));
  }
  EXPECT_FALSE(rate.limited());
  EXPECT_TRUE(rate.Admit(0, 0.99, At(now)));
}

// Guards against a limit that persists after an outage in which the servers
// refused all requests.
TEST(AdmissionRate, RecoversWithinSecondsOfAnOutage) {
  AdmissionRate rate;
  Duration now{0};
  for (int i = 0; i < 600; ++i) {
    now += milliseconds(5);
    if (rate.Admit(0, (i % 10) / 10.0, At(now)))
      rate.OnRejected(At(now));
  }
  EXPECT_LT(rate.AdmittedShare(0), 0.5);
  for (int i = 0; i < 600; ++i) {
    now += milliseconds(5);
    rate.Admit(0, 0.5, At(now));
  }
  EXPECT_FALSE(rate.limited());
}

// Guards against a limit on a whole service because of a few refusals, as a
// single faulty server causes them.
TEST(AdmissionRate, FewRefusalsDoNotLimit) {
  AdmissionRate rate;
  Duration now{0};
  for (int i = 0; i < 400; ++i) {
    now += milliseconds(10);
    EXPECT_TRUE(rate.Admit(0, 0.999, At(now)));
    if (i % 40 == 0)
      rate.OnRejected(At(now));
  }
  EXPECT_FALSE(rate.limited());
}

// Guards against less urgent requests that are preferred to more urgent ones,
// and against a priority that is not served at all.
TEST(AdmissionRate, UrgentRequestsComeFirstAndNoPriorityStarves) {
  AdmissionRate rate;
  Duration now{0};
  for (int i = 0; i < 600; ++i) {
    now += milliseconds(5);
    const uint32_t priority = 1 + (i % 2);
    if (rate.Admit(priority, 0.5, At(now)) && i % 2 == 0)
      rate.OnRejected(At(now));
  }
  ASSERT_TRUE(rate.limited());
  const double urgent = rate.AdmittedShare(1);
  const double other = rate.AdmittedShare(2);
  EXPECT_GT(urgent, other);
  EXPECT_GT(other, 0.25 * (urgent + other) / 2);
}

}  // namespace
}  // namespace wasabihook::gateway
