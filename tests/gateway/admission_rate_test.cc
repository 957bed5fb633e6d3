// Admission of requests to a service under overload.

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

// Shards of a scatter, each of which takes a number of requests per slot of
// time and rejects the others, in an order of its own.
class OverloadedShards {
 public:
  OverloadedShards(size_t shards, size_t required, uint32_t capacity_per_slot)
      : m_rates(shards), m_required(required), m_capacity(capacity_per_slot) {}

  // Plays `queries` queries in the slot that begins at `now`. Returns how many
  // got the parts that they need.
  uint32_t RunQueries(uint32_t queries, TimePoint now, bool limited) {
    std::vector<std::vector<bool>> parts(queries);
    std::vector<std::vector<uint32_t>> asked(m_rates.size());
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
          asked[shard].push_back(query);
      }
    }
    for (size_t shard = 0; shard < m_rates.size(); ++shard)
      Serve(shard, asked[shard], now, &parts);
    return static_cast<uint32_t>(
        std::ranges::count_if(parts, [this](const std::vector<bool>& query) {
          return static_cast<size_t>(std::ranges::count(query, true)) >=
                 m_required;
        }));
  }
  size_t sent() const { return m_sent; }

 private:
  void Serve(size_t shard,
             std::vector<uint32_t> asked,
             TimePoint now,
             std::vector<std::vector<bool>>* parts) {
    m_sent += asked.size();
    std::ranges::shuffle(asked, m_random);
    for (size_t i = 0; i < asked.size(); ++i) {
      if (i < m_capacity)
        (*parts)[asked[i]][shard] = true;
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

// Slots of 100 ms; `queries` in each.
LoadResult SimulateOverload(uint32_t queries, uint32_t capacity, bool limited) {
  OverloadedShards shards(20, 18, capacity);
  LoadResult out;
  for (int slot = 0; slot < 100; ++slot) {
    const uint32_t served =
        shards.RunQueries(queries, At(milliseconds(100) * slot), limited);
    // The limit is learnt in the first second.
    if (slot < 10)
      continue;
    out.served += served;
    out.sent += shards.sent();
  }
  return out;
}

// Guards against the collapse of a scatter under overload: shards that turn
// away a quarter of the parts each leave hardly a query whole. The model has
// neither queues nor retries, so that each part rejected is lost.
TEST(AdmissionRate, ScatterUnderOverloadServesWhatTheShardsCanTake) {
  constexpr uint32_t kCapacity = 30;
  const LoadResult unlimited = SimulateOverload(40, kCapacity, false);
  const LoadResult limited = SimulateOverload(40, kCapacity, true);
  const uint32_t possible = kCapacity * 90;
  EXPECT_LT(unlimited.served, possible / 4);
  EXPECT_GT(limited.served, possible / 2);
  EXPECT_LT(limited.sent, unlimited.sent);
}

// Guards against requests refused although there is room.
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

// Guards against a limit that outlasts an outage during which servers refused
// everything.
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

// Guards against a few refusals, as one faulty server gives them, that limit a
// whole service.
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

// Guards against a less urgent kind of request that is served before a more
// urgent one, and against one that is not served at all.
TEST(AdmissionRate, UrgentRequestsComeFirstAndNoRankStarves) {
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
