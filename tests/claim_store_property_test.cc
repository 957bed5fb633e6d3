// Stateful property test of the claim store: random interleavings of claims,
// outcomes and faults on several instances, checked against the stored values
// and the grants so far.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>

#include "decision/operations/claim_store.h"
#include "testing/fake_platform.h"
#include "testing/manual_timer_service.h"

namespace wasabihook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FakePlatform;
using testing::ManualTimerService;
using testing::PlatformFaults;

// Forwards calls to the platform. While paused it delays the results, to
// simulate a paused process.
class PausableStore : public KeyValueStore {
 public:
  PausableStore(ManualTimerService* timers, KeyValueStore* store)
      : m_timers(timers), m_store(store) {}

  void PauseUntil(TimePoint time) { m_paused_until = time; }

  void Get(std::string key, std::function<void(GetResult)> done) override {
    m_store->Get(std::move(key), Delayed(std::move(done)));
  }
  void List(std::string prefix,
            std::optional<Revision> newer_than,
            Duration wait,
            std::function<void(ListResult)> done) override {
    m_store->List(std::move(prefix), newer_than, wait,
                  Delayed(std::move(done)));
  }
  void CompareAndSwap(std::string key,
                      Revision expected,
                      std::string value,
                      std::function<void(WriteResult)> done) override {
    m_store->CompareAndSwap(std::move(key), expected, std::move(value),
                            Delayed(std::move(done)));
  }
  void Delete(std::string key,
              Revision expected,
              std::function<void(WriteResult)> done) override {
    m_store->Delete(std::move(key), expected, Delayed(std::move(done)));
  }

 private:
  template <typename Result>
  std::function<void(Result)> Delayed(std::function<void(Result)> done) {
    return [this, done = std::move(done)](Result result) {
      const Duration left = m_paused_until - m_timers->Now();
      m_timers->SubscribeOnce(
          std::max(left, Duration(0)),
          [done, result = std::move(result)] { done(result); });
    };
  }

  ManualTimerService* const m_timers;
  KeyValueStore* const m_store;
  TimePoint m_paused_until;
};

constexpr size_t kInstances = 3;
constexpr size_t kKeys = 2;

struct Run {
  std::string nonce;
  size_t key = 0;
  size_t instance = 0;
  std::optional<RunState> recorded;
};

class ClaimStoreSimulation {
 public:
  explicit ClaimStoreSimulation(uint64_t seed)
      : m_platform(&m_timers, MakeRandomSource(seed)) {
    for (size_t i = 0; i < kInstances; ++i) {
      m_pausable.push_back(
          std::make_unique<PausableStore>(&m_timers, &m_platform));
      m_claims.push_back(std::make_unique<KeyValueClaimStore>(
          ClaimStoreDeps{.timers = &m_timers,
                         .store = m_pausable.back().get(),
                         .random = MakeRandomSource(seed + i + 1),
                         .instance = InstanceId("i" + std::to_string(i)),
                         .incarnation = Incarnation(i),
                         .on_event = {}}));
    }
  }

  void Step() {
    switch (*rc::gen::weightedElement<int>(
        {{6, 0}, {4, 1}, {2, 2}, {2, 3}, {5, 4}})) {
      case 0:
        return Claim(*rc::gen::inRange<size_t>(0, kInstances),
                     *rc::gen::inRange<size_t>(0, kKeys),
                     milliseconds(*rc::gen::inRange(0, 1000)));
      case 1:
        return Record();
      case 2:
        return Pause();
      case 3:
        return SetFaults();
      default:
        m_timers.Advance(milliseconds(*rc::gen::inRange(0, 400)));
    }
    CheckOutcomes();
  }

  // Ends all faults and waits until every call has finished.
  void Settle() {
    m_platform.SetFaults({});
    m_timers.Advance(seconds(300));
    CheckOutcomes();
    RC_ASSERT(m_answers == m_calls);
    for (const auto& claims : m_claims) {
      RC_ASSERT(claims->unfinished() == 0U);
    }
  }

  // Checks that every key that is not done and has no open run can be claimed
  // again.
  void CheckNoKeyStaysBlocked() {
    for (size_t key = 0; key < kKeys; ++key) {
      const bool open_or_done =
          std::any_of(m_runs.begin(), m_runs.end(), [&](const Run& run) {
            return run.key == key && run.recorded != RunState::kNotRun;
          });
      const size_t runs_before = m_runs.size();
      Claim(0, key, seconds(1));
      m_timers.Advance(seconds(5));
      RC_ASSERT((m_runs.size() > runs_before) == !open_or_done);
    }
  }

  size_t runs() const { return m_runs.size(); }

 private:
  static ClaimKey KeyOf(size_t key) {
    return {TeamId("t"), IdempotencyKey("k" + std::to_string(key))};
  }

  void Claim(size_t instance, size_t key, Duration timeout) {
    m_calls++;
    m_claims[instance]->Claim(KeyOf(key), Fingerprint(1),
                              m_timers.Now() + timeout,
                              [this, instance, key](const ClaimResult& result) {
                                OnClaimed(instance, key, result);
                              });
  }

  void OnClaimed(size_t instance, size_t key, const ClaimResult& result) {
    m_answers++;
    if (result.status != ClaimStatus::kGranted) {
      return;
    }
    for (const Run& run : m_runs) {
      RC_ASSERT(run.key != key || run.recorded == RunState::kNotRun);
      RC_ASSERT(run.nonce != result.nonce);
    }
    m_runs.push_back({result.nonce, key, instance, std::nullopt});
  }

  // Records an outcome of a random run, possibly a second and different one,
  // but none that contradicts whether the operation ran.
  void Record() {
    if (m_runs.empty()) {
      return;
    }
    Run& run = m_runs[*rc::gen::inRange<size_t>(0, m_runs.size())];
    const RunState state = *rc::gen::element(RunState::kNotRun, RunState::kRan,
                                             RunState::kUnknown);
    if (run.recorded && *run.recorded == RunState::kNotRun &&
        state != RunState::kNotRun) {
      return;
    }
    if (run.recorded && state == RunState::kNotRun) {
      return;
    }
    OperationOutcome outcome;
    outcome.run_state = state;
    outcome.rows = {std::to_string(m_next_row++)};
    if (!run.recorded) {
      run.recorded = state;
    }
    m_claims[run.instance]->Record(KeyOf(run.key), run.nonce, outcome);
  }

  void Pause() {
    m_pausable[*rc::gen::inRange<size_t>(0, kInstances)]->PauseUntil(
        m_timers.Now() + milliseconds(*rc::gen::inRange(0, 3000)));
  }

  void SetFaults() {
    PlatformFaults faults;
    faults.down = *rc::gen::inRange(0, 5) == 0;
    faults.slow_jitter = milliseconds(*rc::gen::element(0, 5, 800));
    faults.lose_write_response_probability = *rc::gen::element(0.0, 0.3, 0.9);
    faults.drop_request_probability = *rc::gen::element(0.0, 0.3);
    faults.late_write_probability = *rc::gen::element(0.0, 0.3, 0.9);
    faults.late_by = milliseconds(*rc::gen::element(0, 20, 5000));
    faults.lost_after = milliseconds(*rc::gen::element(0, 10, 300));
    m_platform.SetFaults(faults);
  }

  // Checks that recorded outcomes never change.
  void CheckOutcomes() {
    for (const KeyValue& entry : m_platform.Contents("claims/")) {
      const auto record = DecodeClaim(entry.value);
      RC_ASSERT(record.has_value());
      auto it = m_done.find(entry.key);
      if (it != m_done.end()) {
        RC_ASSERT(it->second == entry.value);
      } else if (record->state == ClaimState::kDone) {
        m_done[entry.key] = entry.value;
      }
    }
  }

  ManualTimerService m_timers;
  FakePlatform m_platform;
  std::vector<std::unique_ptr<PausableStore>> m_pausable;
  std::vector<std::unique_ptr<KeyValueClaimStore>> m_claims;
  std::vector<Run> m_runs;
  std::map<std::string, std::string> m_done;
  int m_calls = 0;
  int m_answers = 0;
  int m_next_row = 0;
};

// Guards against a second grant of a key before the first is recorded as not
// run, against outcomes that change, and against keys that stay blocked without
// an open run, under lost, delayed and refused calls and paused instances.
RC_GTEST_PROP(ClaimStoreProperty, AtMostOneOpenGrantPerKey, ()) {
  ClaimStoreSimulation simulation(*rc::gen::arbitrary<uint64_t>());
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    simulation.Step();
  }
  simulation.Settle();
  simulation.CheckNoKeyStaysBlocked();
  RC_CLASSIFY(simulation.runs() > 2, "more than two runs");
}

}  // namespace
}  // namespace wasabihook
