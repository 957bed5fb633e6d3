#include "decision/burn/burn_aggregator.h"

#include <gtest/gtest.h>
// rapidcheck's header needs GoogleTest's first.
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include "decision/burn/burn_codec.h"
#include "testing/fake_store.h"
#include "testing/manual_timer_service.h"

namespace wasabihook {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

enum class WriteFault { kNone, kUnavailable, kResponseLost };

// Queues calls until the test runs them, so that they can interleave with other
// events in any order.
class QueuedStore : public KeyValueStore {
 public:
  void Get(std::string key, std::function<void(GetResult)> done) override {
    m_queue.push_back([this, key, done] {
      if (m_down) {
        return done({StoreStatus::kUnavailable, {}});
      }
      const auto it = m_values.find(key);
      done(it == m_values.end() ? GetResult{StoreStatus::kNotFound, {}}
                                : GetResult{StoreStatus::kOk, it->second});
    });
  }
  void List(std::string,
            std::optional<Revision>,
            Duration,
            std::function<void(ListResult)>) override {}
  void Delete(std::string,
              Revision,
              std::function<void(WriteResult)>) override {}
  void CompareAndSwap(std::string key,
                      Revision expected,
                      std::string value,
                      std::function<void(WriteResult)> done) override {
    m_queue.push_back([this, key, expected, value, done] {
      const WriteFault fault = std::exchange(m_next_fault, WriteFault::kNone);
      if (m_down || fault == WriteFault::kUnavailable) {
        return done({StoreStatus::kUnavailable, {}, {}});
      }
      KeyValue& entry = m_values[key];
      if (entry.revision != expected) {
        return done({StoreStatus::kConflict, {}, entry});
      }
      entry = {key, value, Revision(++m_last_revision)};
      ++m_writes;
      if (fault == WriteFault::kResponseLost) {
        return done({StoreStatus::kUnknown, {}, {}});
      }
      done({StoreStatus::kOk, entry.revision, {}});
    });
  }

  BurnLedger Ledger() const {
    const auto it = m_values.find("burn/bole");
    return it == m_values.end() || it->second.value.empty()
               ? BurnLedger{}
               : DecodeBurnLedger(it->second.value);
  }

  std::deque<std::function<void()>> m_queue;
  std::map<std::string, KeyValue> m_values;
  bool m_down = false;
  WriteFault m_next_fault = WriteFault::kNone;
  uint64_t m_last_revision = 0;
  int m_writes = 0;
};

class AnyTeamSettings : public SettingsView {
 public:
  TeamSettingsPtr Team(const TeamId&) const override { return m_settings; }

 private:
  TeamSettingsPtr m_settings = std::make_shared<TeamSettings>();
};

struct Fleet;

// One incarnation of an instance. Its requests belong to a team of its own, so
// that the stored counts show whose were lost or counted twice.
struct Daemon {
  Daemon(Fleet& fleet, const PeerIdentity& identity);

  PeerIdentity m_identity;
  TeamId m_team;
  uint64_t m_recorded = 0;
  bool m_is_shutting_down = false;
  bool m_sees_only_itself = false;
  BurnCounters m_counters;
  BurnAggregator m_aggregator;
};

// Instances of one data centre, their network and the store.
struct Fleet : PeerTransport {
  explicit Fleet(int size) {
    for (int i = 0; i < size; ++i) {
      Launch(i);
    }
  }

  void Launch(int slot) {
    const PeerIdentity identity{InstanceId("i" + std::to_string(slot)),
                                Incarnation(++m_incarnations),
                                std::to_string(slot), DataCentreId("bole")};
    m_daemons[slot] = std::make_unique<Daemon>(*this, identity);
  }

  void Record(int slot) {
    if (m_daemons.at(slot)->m_is_shutting_down) {
      return;  // No requests are in flight during the hand-over.
    }
    RequestOutcome outcome;
    outcome.team = m_daemons.at(slot)->m_team;
    outcome.latency = milliseconds(5);
    outcome.complete = true;
    m_daemons.at(slot)->m_counters.Record(outcome);
    ++m_daemons.at(slot)->m_recorded;
    ++m_recorded[outcome.team];
  }

  // Shuts the instance down gracefully and starts a successor after the
  // hand-over.
  void ShutDown(int slot) {
    Daemon& daemon = *m_daemons.at(slot);
    if (std::exchange(daemon.m_is_shutting_down, true)) {
      return;
    }
    const TeamId team = daemon.m_team;
    daemon.m_aggregator.HandOver([this, slot, team](bool durable) {
      if (!durable) {
        m_teams_with_lost_counts.insert(team);
      }
      // Deferred, because Launch() destroys the instance that runs this
      // callback.
      m_store.m_queue.push_back([this, slot, team] {
        if (m_daemons.at(slot)->m_team == team) {
          Launch(slot);
        }
      });
    });
  }

  // Stops the instance without a hand-over; counts not stored yet are lost.
  void Crash(int slot) {
    m_teams_with_lost_counts.insert(m_daemons.at(slot)->m_team);
    Launch(slot);
  }

  void Call(const std::string& address,
            PeerRequest request,
            std::function<void(std::optional<PeerResponse>)> done) override {
    m_store.m_queue.push_back([this, address, request, done] {
      const auto& daemon = m_daemons.at(std::stoi(address));
      if (std::exchange(m_drop_next_call, false) || !daemon) {
        return done(std::nullopt);
      }
      BurnCountsResponse response =
          daemon->m_aggregator.Handle(std::get<BurnCountsRequest>(request));
      if (std::exchange(m_drop_next_response, false)) {
        return done(std::nullopt);
      }
      done(std::move(response));
    });
  }

  std::vector<PeerIdentity> Live() const {
    std::vector<PeerIdentity> live;
    for (const auto& [slot, daemon] : m_daemons) {
      if (daemon) {
        live.push_back(daemon->m_identity);
      }
    }
    return live;
  }

  // Runs the queued call at `index` (modulo the queue's length).
  void RunOne(size_t index = 0) {
    auto& queue = m_store.m_queue;
    if (queue.empty()) {
      return;
    }
    const auto it = queue.begin() + static_cast<long>(index % queue.size());
    auto call = std::move(*it);
    queue.erase(it);
    call();
  }

  void RunAll() {
    while (!m_store.m_queue.empty()) {
      RunOne();
    }
  }

  void RunRounds() {
    for (auto& [slot, daemon] : m_daemons) {
      daemon->m_aggregator.RunRound();
    }
  }

  // Ends all faults and runs rounds until all counts are stored.
  void Settle() {
    m_store.m_down = false;
    m_store.m_next_fault = WriteFault::kNone;
    m_drop_next_call = m_drop_next_response = false;
    for (auto& [slot, daemon] : m_daemons) {
      daemon->m_sees_only_itself = false;
    }
    RunAll();
    for (int round = 0; round < 8; ++round) {
      m_timers.Advance(minutes(1));
      RunRounds();
      RunAll();
    }
  }

  uint64_t Durable(const TeamId& team) const {
    const BurnLedger ledger = m_store.Ledger();
    uint64_t sum = 0;
    if (const auto it = ledger.teams.find(team); it != ledger.teams.end()) {
      for (const auto& [span, cell] : it->second.cells) {
        sum += cell.requests;
      }
    }
    return sum;
  }

  int Aggregator() const {
    const auto id = SelectBurnAggregator(Live());
    return std::stoi(id->value().substr(1));
  }

  testing::ManualTimerService m_timers;
  AnyTeamSettings m_settings;
  QueuedStore m_store;
  bool m_drop_next_call = false;
  bool m_drop_next_response = false;
  uint64_t m_incarnations = 0;
  std::map<TeamId, uint64_t> m_recorded;
  std::set<TeamId> m_teams_with_lost_counts;
  std::map<int, std::unique_ptr<Daemon>> m_daemons;
};

Daemon::Daemon(Fleet& fleet, const PeerIdentity& identity)
    : m_identity(identity),
      m_team("team-" + std::to_string(identity.incarnation.value())),
      m_counters(&fleet.m_timers, &fleet.m_settings),
      m_aggregator({&fleet.m_timers, &fleet.m_store, &fleet, &m_counters,
                    MakeRandomSource(identity.incarnation.value()), identity,
                    [this, &fleet] {
                      return m_sees_only_itself ? std::vector{m_identity}
                                                : fleet.Live();
                    }}) {}

// Guards against counts lost or counted twice without faults, and against more
// than one write per period.
TEST(BurnAggregatorTest, CountsEveryInstanceOnceWithOneWritePerRound) {
  Fleet fleet(3);
  for (int slot = 0; slot < 3; ++slot) {
    fleet.Record(slot);
    fleet.Record(slot);
  }
  fleet.Settle();
  for (const auto& [team, recorded] : fleet.m_recorded) {
    EXPECT_EQ(fleet.Durable(team), recorded) << team.value();
  }
  EXPECT_EQ(fleet.m_store.m_writes, 8);
}

// Guards against counting twice when a write took effect but its response was
// lost.
TEST(BurnAggregatorTest, LostWriteResponseDoesNotCountTwice) {
  Fleet fleet(2);
  fleet.Record(0);
  fleet.Record(1);
  fleet.m_timers.Advance(minutes(1));
  fleet.m_store.m_next_fault = WriteFault::kResponseLost;
  fleet.RunRounds();
  fleet.RunAll();
  fleet.Settle();
  EXPECT_EQ(fleet.Durable(TeamId("team-1")), 1u);
  EXPECT_EQ(fleet.Durable(TeamId("team-2")), 1u);
}

// Guards against a paused aggregator that overwrites the value of its
// successor.
TEST(BurnAggregatorTest, PausedAggregatorCannotOverwrite) {
  Fleet fleet(3);
  const int paused = fleet.Aggregator();
  const int successor = (paused + 1) % 3;
  for (int slot = 0; slot < 3; ++slot) {
    fleet.Record(slot);
  }
  fleet.m_timers.Advance(minutes(1));
  // The paused instance has read and collected; its write is still queued.
  fleet.m_daemons[paused]->m_aggregator.RunRound();
  for (int calls = 0; calls < 3; ++calls) {
    fleet.RunOne();
  }
  ASSERT_EQ(fleet.m_store.m_queue.size(), 1u);
  auto late_write = std::move(fleet.m_store.m_queue.front());
  fleet.m_store.m_queue.clear();
  fleet.m_daemons[successor]->m_sees_only_itself = true;
  fleet.Record(successor);
  fleet.m_timers.Advance(minutes(1));
  fleet.m_daemons[successor]->m_aggregator.RunRound();
  fleet.RunAll();
  late_write();
  EXPECT_EQ(fleet.m_daemons[paused]->m_aggregator.stats().conflicts, 1u);
  fleet.Settle();
  for (const auto& [team, recorded] : fleet.m_recorded) {
    EXPECT_EQ(fleet.Durable(team), recorded) << team.value();
  }
}

// Guards against a successor at the same address that drops buckets because of
// an acknowledgement to its predecessor.
TEST(BurnAggregatorTest, SuccessorIgnoresAcknowledgementOfPredecessor) {
  Fleet fleet(1);
  fleet.Record(0);
  fleet.m_timers.Advance(minutes(1));
  const BurnCountsRequest for_predecessor{{}, Incarnation(999), 100};
  BurnAggregator& successor = fleet.m_daemons[0]->m_aggregator;
  EXPECT_EQ(successor.Handle(for_predecessor).buckets.size(), 1u);
  EXPECT_EQ(successor.Handle(for_predecessor).buckets.size(), 1u);
}

// Guards against losing the counts of the last minutes at each of the 1,300
// instance replacements a day.
TEST(BurnAggregatorTest, HandOverStoresTheCurrentMinute) {
  Fleet fleet(2);
  fleet.Record(0);
  std::optional<bool> durable;
  fleet.m_store.m_next_fault = WriteFault::kResponseLost;
  fleet.m_daemons[0]->m_aggregator.HandOver([&](bool ok) { durable = ok; });
  for (int i = 0; i < 10 && !durable; ++i) {
    fleet.RunAll();
    fleet.m_timers.Advance(config::kBurnHandOverBackoff);
  }
  EXPECT_EQ(durable, true);
  EXPECT_EQ(fleet.Durable(TeamId("team-1")), 1u);
}

// Guards against a shutdown that waits forever for a platform that is down.
TEST(BurnAggregatorTest, HandOverGivesUpWhenThePlatformIsDown) {
  Fleet fleet(1);
  fleet.Record(0);
  fleet.m_store.m_down = true;
  std::optional<bool> durable;
  fleet.m_daemons[0]->m_aggregator.HandOver([&](bool ok) { durable = ok; });
  for (int i = 0; i < 100 && !durable; ++i) {
    fleet.RunAll();
    fleet.m_timers.Advance(config::kBurnHandOverBackoff);
  }
  EXPECT_EQ(durable, false);
}

// Guards against overwriting a value that a newer version or an operator wrote.
TEST(BurnAggregatorTest, NeverOverwritesAMalformedValue) {
  Fleet fleet(1);
  fleet.m_store.m_values["burn/bole"] = {"burn/bole", "{]", Revision(1)};
  fleet.m_daemons[0]->m_aggregator.RunRound();
  fleet.RunAll();
  EXPECT_EQ(fleet.m_daemons[0]->m_aggregator.stats().malformed, 1u);
  EXPECT_EQ(fleet.m_store.m_values["burn/bole"].value, "{]");
}

// Guards against losing counts in a platform outage.
TEST(BurnAggregatorTest, StoresCountsOfAnOutageAfterwards) {
  Fleet fleet(2);
  fleet.m_store.m_down = true;
  for (int minute = 0; minute < 40; ++minute) {
    fleet.Record(0);
    fleet.Record(1);
    fleet.m_timers.Advance(minutes(1));
    fleet.RunRounds();
    fleet.RunAll();
  }
  fleet.Settle();
  EXPECT_EQ(fleet.Durable(TeamId("team-1")), 40u);
  EXPECT_EQ(fleet.Durable(TeamId("team-2")), 40u);
}

void RunCommand(Fleet& fleet, int command, int slot, size_t which) {
  Daemon& daemon = *fleet.m_daemons.at(slot);
  switch (command) {
    case 0:
    case 1:
    case 2:
      return fleet.Record(slot);
    case 3:
      return fleet.m_timers.Advance(minutes(1));
    case 4:
      return fleet.RunRounds();
    case 5:
      daemon.m_sees_only_itself ^= true;
      return daemon.m_aggregator.RunRound();
    case 6:
      fleet.m_store.m_next_fault =
          which % 2 == 0 ? WriteFault::kUnavailable : WriteFault::kResponseLost;
      return;
    case 7:
      (which % 2 == 0 ? fleet.m_drop_next_call : fleet.m_drop_next_response) =
          true;
      return;
    case 8:
      return which % 4 == 0 ? fleet.Crash(slot) : fleet.ShutDown(slot);
    case 9:
      fleet.m_store.m_down ^= true;
      return;
    default:
      return fleet.RunOne(which);
  }
}

// Guards against counting a request twice, or losing one of an instance that
// did not crash, under any interleaving of rounds of several aggregators, lost
// calls and responses, outages and replacements.
RC_GTEST_PROP(BurnAggregatorStatefulTest, CountsEachRequestOnce, ()) {
  Fleet fleet(3);
  const auto length = *rc::gen::inRange(1, 300);
  for (int i = 0; i < length; ++i) {
    const auto command = *rc::gen::inRange(0, 20);
    const auto slot = *rc::gen::inRange(0, 3);
    const auto which = *rc::gen::inRange<size_t>(0, 8);
    RunCommand(fleet, command, slot, which);
  }
  fleet.Settle();
  for (const auto& [team, recorded] : fleet.m_recorded) {
    if (fleet.m_teams_with_lost_counts.count(team) > 0) {
      RC_ASSERT(fleet.Durable(team) <= recorded);
    } else {
      RC_ASSERT(fleet.Durable(team) == recorded);
    }
  }
}

// Runs store and peer calls on separate threads.
class ThreadedStoreAndPeers : public KeyValueStore, public PeerTransport {
 public:
  ThreadedStoreAndPeers() {
    for (int i = 0; i < 2; ++i) {
      m_threads.emplace_back([this] { Work(); });
    }
  }
  ~ThreadedStoreAndPeers() override { Stop(); }

  // Finishes every call, then ends the threads.
  void Stop() {
    {
      std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    m_wake.notify_all();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  void Get(std::string key, std::function<void(GetResult)> done) override {
    Post([this, key, done] {
      std::unique_lock lock(m_mutex);
      const GetResult result = m_store.Get(key);
      lock.unlock();
      done(result);
    });
  }
  void CompareAndSwap(std::string key,
                      Revision expected,
                      std::string value,
                      std::function<void(WriteResult)> done) override {
    Post([this, key, expected, value, done] {
      std::unique_lock lock(m_mutex);
      const WriteResult result =
          m_store.CompareAndSwap(key, expected, value, 0);
      lock.unlock();
      done(result);
    });
  }
  void List(std::string,
            std::optional<Revision>,
            Duration,
            std::function<void(ListResult)>) override {}
  void Delete(std::string,
              Revision,
              std::function<void(WriteResult)>) override {}
  void Call(const std::string& address,
            PeerRequest request,
            std::function<void(std::optional<PeerResponse>)> done) override {
    Post([this, address, request, done] {
      done(m_aggregators.at(address)->Handle(
          std::get<BurnCountsRequest>(request)));
    });
  }

  testing::FakeStore m_store;
  std::map<std::string, BurnAggregator*> m_aggregators;

 private:
  void Post(std::function<void()> call) {
    {
      std::lock_guard lock(m_mutex);
      m_queue.push_back(std::move(call));
    }
    m_wake.notify_one();
  }
  void Work() {
    std::unique_lock lock(m_mutex);
    while (true) {
      m_wake.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
      if (m_queue.empty()) {
        return;
      }
      auto call = std::move(m_queue.front());
      m_queue.pop_front();
      lock.unlock();
      call();
      lock.lock();
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::deque<std::function<void()>> m_queue;
  std::vector<std::thread> m_threads;
};

// Guards against data races and counts lost between recording threads, rounds
// of two aggregators and a hand-over, with callbacks on other threads.
TEST(BurnAggregatorThreadsTest, CountsEachRequestOnce) {
  constexpr uint64_t kRequests = 5000;
  testing::ManualTimerService timers;
  AnyTeamSettings settings;
  BurnCounters a_counters(&timers, &settings), b_counters(&timers, &settings);
  ThreadedStoreAndPeers backend;
  const DataCentreId here("bole");
  const PeerIdentity a{InstanceId("a"), Incarnation(1), "a", here};
  const PeerIdentity b{InstanceId("b"), Incarnation(2), "b", here};
  // Each instance considers itself the aggregator.
  BurnAggregator first({&timers, &backend, &backend, &a_counters,
                        MakeRandomSource(1), a,
                        [&] { return std::vector{a}; }});
  BurnAggregator second(
      {&timers, &backend, &backend, &b_counters, MakeRandomSource(2), b, [&] {
         return SelectBurnAggregator({a, b}) == b.instance ? std::vector{a, b}
                                                           : std::vector{b};
       }});
  backend.m_aggregators = {{"a", &first}, {"b", &second}};
  std::vector<std::thread> recorders;
  for (BurnCounters* counters : {&a_counters, &b_counters}) {
    recorders.emplace_back([counters] {
      RequestOutcome outcome;
      outcome.team = TeamId("clerks");
      outcome.complete = true;
      for (uint64_t i = 0; i < kRequests; ++i) {
        counters->Record(outcome);
      }
    });
  }
  for (int round = 0; round < 50; ++round) {
    timers.Advance(minutes(1));
    first.RunRound();
    second.RunRound();
  }
  for (std::thread& recorder : recorders) {
    recorder.join();
  }
  std::atomic<int> durable = 0;
  first.HandOver([&](bool ok) { durable += ok ? 1 : 0; });
  second.HandOver([&](bool ok) { durable += ok ? 1 : 0; });
  for (int i = 0; i < 10000 && durable < 2; ++i) {
    timers.Advance(config::kBurnHandOverBackoff);
    std::this_thread::yield();
    std::this_thread::sleep_for(milliseconds(1));
  }
  backend.Stop();
  EXPECT_EQ(durable, 2);
  const BurnLedger ledger =
      DecodeBurnLedger(backend.m_store.Get("burn/bole").entry.value);
  uint64_t sum = 0;
  for (const auto& [span, cell] : ledger.teams.at(TeamId("clerks")).cells) {
    sum += cell.requests;
  }
  EXPECT_EQ(sum, 2 * kRequests);
}

// Guards against counting twice after the watermark of a long inactive instance
// was dropped.
TEST(BurnLedgerTest, RefusesOldBucketsOfSourcesWithoutWatermark) {
  BurnLedger ledger;
  const BurnSource source{InstanceId("i"), Incarnation(1)};
  BurnBucket bucket{1, 1000, {{TeamId("clerks"), {}, {}}}};
  bucket.teams[0].cell.requests = 7;
  EXPECT_TRUE(ledger.Fold(source, bucket, 1000));
  EXPECT_FALSE(ledger.Fold(source, bucket, 1000));
  ledger.Compact(1000 + 6 * 60);
  EXPECT_EQ(ledger.LastFoldedSequence(source), 0u);
  EXPECT_FALSE(ledger.Fold(source, bucket, 1000 + 6 * 60));
  EXPECT_EQ(ledger.refused_buckets, 1u);
  bucket = {2, 1001, bucket.teams};
  EXPECT_TRUE(ledger.Fold(source, bucket, 1000 + 6 * 60));
}

// Guards against counts lost or moved to another window by compaction.
RC_GTEST_PROP(BurnLedgerTest, CompactionKeepsRecentCounts, ()) {
  BurnLedger ledger;
  const BurnSource source{InstanceId("i"), Incarnation(1)};
  const int64_t base = 28'000'000 + *rc::gen::inRange(0, 120);
  const int64_t end = base + int64_t{3} * 24 * 60;
  uint64_t sequence = 0;
  int64_t now = base;
  while (now < end) {
    BurnBucket bucket{++sequence, now, {{TeamId("clerks"), {}, {}}}};
    bucket.teams[0].cell.requests = 1;
    ledger.Fold(source, bucket, now);
    now = std::min<int64_t>(end, now + *rc::gen::inRange(1, 400));
    ledger.Compact(now);
  }
  uint64_t sum = 0;
  for (const auto& [span, cell] : ledger.teams[TeamId("clerks")].cells) {
    sum += cell.requests;
    RC_ASSERT(span.width == 60 ||
              span.start + span.width > now - int64_t{8} * 60);
  }
  RC_ASSERT(sum == sequence);
  RC_ASSERT(ledger.watermarks.size() <= 1u);
}

// Guards against fields that the codec does not preserve.
TEST(BurnCodecTest, RoundTripsALedger) {
  BurnLedger ledger;
  RequestOutcome outcome;
  ledger.watermarks[{InstanceId("i"), Incarnation(~uint64_t{0})}] = {4, 28};
  ledger.horizon_minute = 5;
  ledger.newest_minute = 28;
  ledger.refused_buckets = 2;
  TeamLedger& team = ledger.teams[TeamId("clerks")];
  team.objectives.latency_objective = milliseconds(50);
  BurnCell& cell = team.cells[{25, 5}];
  cell.requests = 3;
  cell.latency_bad = 2;
  cell.coverage_bad = 1;
  cell.latency.Record(milliseconds(70));
  cell.causes[{BurnObjective::kCoverage, BurnCauseKind::kMissingGroup, "g"}] =
      1;
  EXPECT_EQ(DecodeBurnLedger(EncodeBurnLedger(ledger)), ledger);
}

// Guards against crashes and default values on input of another writer.
TEST(BurnCodecTest, RejectsMalformedText) {
  for (const char* text : {"", "{", "[]", "{}", "null", R"({"format":2})",
                           R"({"format":1,"horizon_minute":0,"newest_minute":0,
           "refused_buckets":0,"watermarks":[],
           "teams":{"t":{"objectives":[1,1,1],
                         "cells":[[0,1,[1,0,0,[9999,1],[]]]]}}})"}) {
    EXPECT_THROW(DecodeBurnLedger(text), std::invalid_argument) << text;
  }
  EXPECT_THROW(DecodeBurnBuckets("[[1]]"), std::invalid_argument);
}

}  // namespace
}  // namespace wasabihook
