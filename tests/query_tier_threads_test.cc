#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_set>

#include "decision/routing/admission_controller.h"
#include "decision/routing/hedge_policy.h"
#include "decision/routing/retry_budget.h"
#include "query_tier_fixture.h"
#include "runtime/thread_timer_service.h"
#include "wasabihook/server_table.h"

namespace wasabihook::testing {
namespace {

// Answers each sub-request on a timer thread after up to 3 ms; refuses one in
// ten as overloaded.
class EchoTransport : public BackendTransport {
 public:
  explicit EchoTransport(TimerService* timers) : m_timers(timers) {}

  void Send(SubRequest request, SubReplyCallback done) override {
    const uint64_t draw = m_random();
    {
      std::lock_guard lock(m_mutex);
      m_callbacks.emplace(request.id, std::move(done));
    }
    SubReply reply;
    reply.id = request.id;
    reply.outcome = draw % 10 == 0 ? SubOutcome::kOverloaded : SubOutcome::kOk;
    reply.snapshot = request.snapshot;
    reply.records_searched = kRecordsPerGroup;
    reply.rows = {request.payload};
    Later(std::chrono::microseconds(draw / 16 % 3000), std::move(reply));
  }

  void Cancel(const SubRequestId& id) override {
    SubReply reply;
    reply.id = id;
    reply.outcome = SubOutcome::kCancelled;
    Later(Duration(0), std::move(reply));
  }

  void SetConnectionLimit(const ServerId& /*server*/,
                          uint32_t /*limit*/) override {}

 private:
  void Later(Duration delay, SubReply reply) {
    m_timers->SubscribeOnce(delay, [this, reply = std::move(reply)] {
      SubReplyCallback done;
      {
        std::lock_guard lock(m_mutex);
        if (auto node = m_callbacks.extract(reply.id)) {
          done = std::move(node.mapped());
        }
      }
      if (done) {
        done(reply);
      }
    });
  }

  TimerService* const m_timers;
  const RandomSource m_random = MakeRandomSource(3);
  std::mutex m_mutex;
  std::unordered_map<SubRequestId, SubReplyCallback> m_callbacks;
};

// Counts replies and lets the test wait for them.
class ReplyCounter {
 public:
  void Add(const Reply& reply, const std::string& payload) {
    std::lock_guard lock(m_mutex);
    ++m_replies;
    if (const auto* answer = std::get_if<Answer>(&reply)) {
      for (const std::string& row : answer->rows) {
        m_foreign_rows += row != payload ? 1 : 0;
      }
    }
    m_changed.notify_all();
  }
  void SetDrained() {
    std::lock_guard lock(m_mutex);
    m_drained = true;
    m_changed.notify_all();
  }
  bool WaitUntilDrained() {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, std::chrono::minutes(2),
                              [this] { return m_drained; });
  }
  int replies() const { return m_replies; }
  int foreign_rows() const { return m_foreign_rows; }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  int m_replies = 0;
  int m_foreign_rows = 0;
  bool m_drained = false;
};

// Guards against data races and deadlocks between submitters, cancellations,
// replies, timers and a drain, and against requests lost in such races.
TEST(QueryTierThreadsTest, EveryRequestEndsOnce) {
  constexpr int kThreads = 4;
  constexpr int kRequests = 150;
  ThreadTimerService timers(3);
  ThreadTimerService transport_timers(2);
  EchoTransport transport(&transport_timers);
  FakeSettings view;
  TeamSettings settings;
  settings.team = kTeam;
  settings.least_coverage = Fraction{0.1};
  settings.index_sets[kIndexSet] = MakeSnapshot(1, 4);
  view.Put(settings);
  const auto servers = ServerTable::Create(&timers, MakeRandomSource(1));
  const auto hedging = HedgePolicy::Create();
  const auto budget = RetryBudget::Create();
  const auto admission = AdmissionController::Create(&timers);
  FakeClaimStore claims(&transport_timers);
  FakeQuarantine quarantine;
  std::atomic<int> outcomes{0};
  const auto tier = QueryTier::Create(
      {.timers = &timers,
       .transport = &transport,
       .settings = &view,
       .servers = servers.get(),
       .hedging = hedging.get(),
       .retry_budget = budget.get(),
       .admission = admission.get(),
       .claims = &claims,
       .quarantine = &quarantine,
       .random = MakeRandomSource(2),
       .id_prefix = "threads",
       .on_outcome = [&](const RequestOutcome&) { ++outcomes; }});

  ReplyCounter counter;
  std::atomic<int> cancelled{0};
  std::vector<std::thread> submitters;
  for (int t = 0; t < kThreads; ++t) {
    submitters.emplace_back([&, t] {
      for (int i = 0; i < kRequests; ++i) {
        CallerRequest request;
        request.kind =
            i % 5 == 0 ? RequestKind::kOperation : RequestKind::kSearch;
        request.team = kTeam;
        request.index_set = kIndexSet;
        request.payload = std::to_string(t) + "-" + std::to_string(i);
        request.record_key = request.payload;
        request.idempotency_key = IdempotencyKey(request.payload);
        request.issued_at = timers.WallNow();
        const std::string payload = request.payload;
        const QueryHandle handle = tier->Submit(
            std::move(request), [&counter, payload](const Reply& reply) {
              counter.Add(reply, payload);
            });
        if (i % 7 == 0) {
          ++cancelled;
          tier->Cancel(handle);
        }
      }
    });
  }
  for (std::thread& thread : submitters) {
    thread.join();
  }
  tier->Drain([&] { counter.SetDrained(); });
  ASSERT_TRUE(counter.WaitUntilDrained());
  EXPECT_EQ(tier->in_flight(), 0U);
  EXPECT_EQ(counter.foreign_rows(), 0);
  // A request may be replied to before its cancellation takes effect.
  EXPECT_LE(counter.replies(), kThreads * kRequests);
  EXPECT_GE(counter.replies(), kThreads * kRequests - cancelled.load());
  EXPECT_EQ(outcomes.load(), counter.replies());
}

}  // namespace
}  // namespace wasabihook::testing
