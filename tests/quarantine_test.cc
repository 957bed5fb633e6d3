#include "decision/operations/quarantine.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <thread>

#include "testing/manual_timer_service.h"

namespace wasabihook {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const TeamId kTeam("couriers");

QuarantineEntry Body(uint64_t fingerprint) {
  return {kTeam, Fingerprint(fingerprint), minutes(10)};
}

ServerId Server(int number) {
  return ServerId("127.0.0.1:" + std::to_string(9000 + number));
}

class QuarantineTest : public ::testing::Test {
 protected:
  QuarantineTest() {
    quarantine.SetOnAdded(
        [this](const QuarantineEntry& entry) { added.push_back(entry); });
  }
  QuarantineStatus Check(uint64_t fingerprint) {
    return quarantine.Check(kTeam, Fingerprint(fingerprint));
  }

  testing::ManualTimerService timers;
  CrashQuarantine quarantine{&timers};
  std::vector<QuarantineEntry> added;
};

// Guards against a body that crashes one server after another.
TEST_F(QuarantineTest, QuarantinesAfterCrashesOfTwoServers) {
  quarantine.ReportCrash(Server(1), {Body(1), Body(2)});
  EXPECT_EQ(Check(1), QuarantineStatus::kSuspect);
  quarantine.ReportCrash(Server(2), {Body(1), Body(3)});
  EXPECT_EQ(Check(1), QuarantineStatus::kQuarantined);
  EXPECT_EQ(Check(2), QuarantineStatus::kSuspect);
  EXPECT_EQ(Check(3), QuarantineStatus::kSuspect);
  EXPECT_EQ(quarantine.Check(TeamId("clerks"), Fingerprint(1)),
            QuarantineStatus::kNone);
  ASSERT_EQ(added.size(), 1U);
  EXPECT_EQ(added[0].fingerprint, Fingerprint(1));
  EXPECT_EQ(quarantine.Entries().size(), 1U);
}

// Guards against a body that repeatedly crashes a group's only server.
TEST_F(QuarantineTest, OnlyBodyInFlightNeedsOneMoreCrash) {
  quarantine.ReportCrash(Server(1), {Body(1), Body(1)});
  EXPECT_EQ(Check(1), QuarantineStatus::kSuspect);
  quarantine.ReportCrash(Server(1), {Body(1)});
  EXPECT_EQ(Check(1), QuarantineStatus::kSuspect)
      << "same crash, reported twice";
  timers.Advance(seconds(5));
  quarantine.ReportCrash(Server(1), {Body(1), Body(2)});
  EXPECT_EQ(Check(1), QuarantineStatus::kQuarantined);
  EXPECT_EQ(Check(2), QuarantineStatus::kSuspect);
}

// Guards against harmless bodies that stay suspect, and against answers of
// other shard groups clearing a body that keeps crashing one group.
TEST_F(QuarantineTest, SuccessesClearSuspects) {
  quarantine.ReportCrash(Server(1), {Body(1), Body(2)});
  quarantine.ReportSuccess(kTeam, Fingerprint(1), Server(1));
  EXPECT_EQ(Check(1), QuarantineStatus::kSuspect);
  quarantine.ReportSuccess(kTeam, Fingerprint(1), Server(2));
  EXPECT_EQ(Check(1), QuarantineStatus::kNone);
  EXPECT_EQ(Check(2), QuarantineStatus::kSuspect);

  quarantine.ReportCrash(Server(3), {Body(7)});
  quarantine.ReportSuccess(kTeam, Fingerprint(7), Server(4));
  EXPECT_EQ(Check(7), QuarantineStatus::kSuspect);
  quarantine.ReportSuccess(kTeam, Fingerprint(7), Server(5));
  EXPECT_EQ(Check(7), QuarantineStatus::kNone);
  quarantine.ReportCrash(Server(6), {Body(7)});
  EXPECT_EQ(Check(7), QuarantineStatus::kQuarantined);
  quarantine.ReportSuccess(kTeam, Fingerprint(7), Server(4));
  EXPECT_EQ(Check(7), QuarantineStatus::kQuarantined);
}

// Guards against evidence that never expires and entries that are prolonged by
// instances exchanging them.
TEST_F(QuarantineTest, ExpiresAndIsNotProlonged) {
  CrashQuarantine peer(&timers);
  quarantine.ReportCrash(Server(1), {Body(1)});
  quarantine.ReportCrash(Server(2), {Body(1)});
  for (int i = 0; i < 650; ++i) {
    timers.Advance(seconds(1));
    for (const QuarantineEntry& entry : quarantine.Entries()) {
      peer.Merge(entry);
    }
    for (const QuarantineEntry& entry : peer.Entries()) {
      quarantine.Merge(entry);
    }
    if (i == 500) {
      EXPECT_EQ(peer.Check(kTeam, Fingerprint(1)),
                QuarantineStatus::kQuarantined);
    }
  }
  EXPECT_EQ(Check(1), QuarantineStatus::kNone);
  EXPECT_EQ(peer.Check(kTeam, Fingerprint(1)), QuarantineStatus::kNone);
  EXPECT_EQ(added.size(), 1U);
}

// Guards against unbounded memory, and against evicting quarantined bodies in
// favour of suspects.
TEST_F(QuarantineTest, MemoryIsBounded) {
  quarantine.ReportCrash(Server(1), {Body(1)});
  quarantine.ReportCrash(Server(2), {Body(1)});
  for (uint64_t i = 0; i < 100'000; ++i) {
    quarantine.Merge({kTeam, Fingerprint(1'000'000 + i), minutes(20)});
  }
  EXPECT_LE(quarantine.Entries().size(), config::kMaxSuspectBodies);
  for (uint64_t i = 0; i < 1'000; ++i) {
    quarantine.ReportCrash(Server(3), {Body(2'000 + i), Body(5'000 + i)});
  }
  EXPECT_GE(quarantine.Entries().size(), config::kMaxSuspectBodies * 3 / 4);
}

// Guards against quarantining harmless bodies that were in flight during a
// crash of another body: one crash is never sufficient, and a body that another
// server answers after each crash is never quarantined.
RC_GTEST_PROP(QuarantineProperty, HarmlessBodiesAreNotQuarantined, ()) {
  testing::ManualTimerService timers;
  CrashQuarantine quarantine(&timers);
  const int crashes = *rc::gen::inRange(1, 20);
  const uint64_t crashing = 0;
  const uint64_t answered = 1;
  std::map<uint64_t, std::set<int>> servers_by_body;
  for (int i = 0; i < crashes; ++i) {
    std::vector<QuarantineEntry> bodies = {Body(crashing), Body(answered)};
    for (const uint64_t harmless : *rc::gen::container<std::set<uint64_t>>(
             rc::gen::inRange<uint64_t>(2, 60))) {
      bodies.push_back(Body(harmless));
    }
    const int server = *rc::gen::inRange(0, 5);
    quarantine.ReportCrash(Server(server), bodies);
    for (const QuarantineEntry& body : bodies) {
      servers_by_body[body.fingerprint.value()].insert(server);
    }
    quarantine.ReportSuccess(kTeam, Fingerprint(answered), Server(100));
    timers.Advance(seconds(*rc::gen::inRange(0, 20)));
  }
  for (const auto& [body, servers] : servers_by_body) {
    const QuarantineStatus quarantine_status =
        quarantine.Check(kTeam, Fingerprint(body));
    if (body == answered) {
      RC_ASSERT(quarantine_status == QuarantineStatus::kNone);
    } else {
      RC_ASSERT((quarantine_status == QuarantineStatus::kQuarantined) ==
                (servers.size() >= 2));
    }
  }
}

// Guards against data races, and deadlocks when the hook calls the quarantine.
TEST_F(QuarantineTest, ConcurrentUse) {
  std::atomic<int> hooks{0};
  quarantine.SetOnAdded([&](const QuarantineEntry& entry) {
    hooks++;
    quarantine.Check(entry.team, entry.fingerprint);
  });
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&, t] {
      for (uint64_t i = 0; i < 500; ++i) {
        quarantine.ReportCrash(Server(t), {Body(i), Body(i + 1)});
        quarantine.ReportSuccess(kTeam, Fingerprint(i / 2), Server(9));
        quarantine.Entries();
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(static_cast<size_t>(hooks), quarantine.Entries().size());
}

}  // namespace
}  // namespace wasabihook
