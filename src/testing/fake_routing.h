#ifndef SRC_TESTING_FAKE_ROUTING_H_
#define SRC_TESTING_FAKE_ROUTING_H_

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "decision/routing/admission_controller.h"
#include "decision/routing/hedge_policy.h"
#include "decision/routing/retry_budget.h"
#include "wasabihook/server_table.h"

namespace wasabihook::testing {

// Chooses the first server of the group that is below the limit, not ejected
// and not excluded.
class FakeServerTable : public ServerTable {
 public:
  std::optional<ServerId> Acquire(
      const ShardGroup& group,
      const ServerLimits& /*server_limits*/,
      const RoutingPolicy& /*policy*/,
      const std::vector<ServerId>& excluded) override {
    std::lock_guard lock(m_mutex);
    for (const BackendServer& server : group.servers) {
      const bool skip = std::find(excluded.begin(), excluded.end(),
                                  server.id) != excluded.end();
      if (!skip && !m_ejected.contains(server.id) &&
          m_outstanding[server.id] < m_limit) {
        ++m_outstanding[server.id];
        return server.id;
      }
    }
    return std::nullopt;
  }

  void Release(const ServerId& server,
               const SubReply& /*reply*/,
               Duration /*latency*/) override {
    std::lock_guard lock(m_mutex);
    --m_outstanding[server];
  }

  void MarkDraining(const ServerId& /*server*/,
                    DrainSource /*source*/) override {}
  void SetLiveInstances(uint32_t /*count*/) override {}

  std::vector<ServerStatus> Status() const override {
    std::lock_guard lock(m_mutex);
    std::vector<ServerStatus> status;
    for (const auto& [id, outstanding] : m_outstanding) {
      ServerStatus entry;
      entry.id = id;
      entry.outstanding = outstanding;
      entry.ejected = m_ejected.contains(id);
      status.push_back(std::move(entry));
    }
    return status;
  }

  // Limit of concurrent sub-requests for each server.
  void SetLimit(uint32_t limit) {
    std::lock_guard lock(m_mutex);
    m_limit = limit;
  }
  void Eject(const ServerId& server) {
    std::lock_guard lock(m_mutex);
    m_ejected.insert(server);
    m_outstanding.try_emplace(server, 0);
  }
  uint32_t total_outstanding() const {
    std::lock_guard lock(m_mutex);
    uint32_t total = 0;
    for (const auto& [id, outstanding] : m_outstanding) {
      total += outstanding;
    }
    return total;
  }

 private:
  mutable std::mutex m_mutex;
  uint32_t m_limit = std::numeric_limits<uint32_t>::max();
  std::map<ServerId, uint32_t> m_outstanding;
  std::set<ServerId> m_ejected;
};

// Uses one delay for all groups, and never hedges under overload.
class FakeHedgePolicy : public HedgePolicy {
 public:
  explicit FakeHedgePolicy(Duration delay) : m_delay(delay) {}
  Duration DelayFor(const ShardGroupKey& /*group*/, bool overloaded) override {
    return overloaded ? Duration::max() : m_delay;
  }
  void Observe(const ShardGroupKey& /*group*/, Duration /*latency*/) override {}

 private:
  const Duration m_delay;
};

// Budget whose tokens are set by the test.
class FakeRetryBudget : public RetryBudget {
 public:
  void OnFirstAttempt(const TeamId& /*team*/, Fraction /*share*/) override {}
  bool TrySpend(const TeamId& /*team*/) override {
    std::lock_guard lock(m_mutex);
    return m_tokens > 0 && m_tokens-- > 0;
  }
  void Refund(const TeamId& /*team*/) override {
    std::lock_guard lock(m_mutex);
    ++m_tokens;
  }
  void SetTokens(uint32_t tokens) {
    std::lock_guard lock(m_mutex);
    m_tokens = tokens;
  }
  uint32_t tokens() const {
    std::lock_guard lock(m_mutex);
    return m_tokens;
  }

 private:
  mutable std::mutex m_mutex;
  uint32_t m_tokens = 0;
};

// Admits requests immediately, or holds them until CompleteHeldRequests().
class FakeAdmissionController : public AdmissionController {
 public:
  void Request(AdmissionRequest /*request*/, Callback done) override {
    if (m_hold) {
      m_waiting.push_back(std::move(done));
      return;
    }
    ++m_running;
    done(AdmissionResult::kAdmitted);
  }
  void Release(const TeamId& /*team*/,
               const IndexSetId& /*pool*/,
               Duration /*latency*/,
               bool /*overloaded*/) override {
    --m_running;
  }
  void SetPoolCapacity(const IndexSetId& /*pool*/,
                       uint32_t /*requests*/) override {}

  void SetHoldRequests(bool hold) { m_hold = hold; }
  // Completes all held requests with `result`.
  void CompleteHeldRequests(AdmissionResult result) {
    for (Callback& done : std::exchange(m_waiting, {})) {
      m_running += result == AdmissionResult::kAdmitted ? 1 : 0;
      done(result);
    }
  }
  int running() const { return m_running; }

 private:
  bool m_hold = false;
  std::vector<Callback> m_waiting;
  int m_running = 0;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_ROUTING_H_
