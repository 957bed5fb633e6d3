#include "wasabihook/server_table.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "testing/manual_timer_service.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ManualTimerService;

class ServerTableTest : public ::testing::Test {
 protected:
  static ShardGroup Group(std::initializer_list<const char*> names) {
    ShardGroup group;
    group.id = ShardGroupId("0");
    for (const char* name : names) {
      group.servers.push_back({ServerId(name), DataCentreId("bay-a")});
    }
    return group;
  }

  std::optional<ServerId> Acquire(const ShardGroup& group,
                                  std::vector<ServerId> excluded = {}) {
    return m_table->Acquire(group, m_server_limits, m_policy, excluded);
  }
  // Acquires, lets `latency` pass and releases with `outcome`.
  std::optional<ServerId> RunSubRequest(const ShardGroup& group,
                                        SubOutcome outcome = SubOutcome::kOk,
                                        Duration latency = milliseconds(5)) {
    const auto server = Acquire(group);
    m_timers.Advance(latency);
    if (server) {
      Release(*server, outcome, latency);
    }
    return server;
  }
  void Release(const ServerId& server,
               SubOutcome outcome = SubOutcome::kOk,
               Duration latency = milliseconds(5)) {
    SubReply reply;
    reply.outcome = outcome;
    m_table->Release(server, reply, latency);
  }
  // Fails every sub-request that is sent to `bad` until it is ejected.
  void EjectByFailures(const ShardGroup& group, const ServerId& bad) {
    const RoutingPolicy policy = std::exchange(
        m_policy, RoutingPolicy{.choice = ReplicaChoice::kRandom});
    for (int i = 0; i < 1000 && !Status(bad).ejected; ++i) {
      const auto server = Acquire(group);
      ASSERT_TRUE(server.has_value());
      m_timers.Advance(milliseconds(1));
      Release(*server,
              *server == bad ? SubOutcome::kServerError : SubOutcome::kOk,
              milliseconds(1));
    }
    ASSERT_TRUE(Status(bad).ejected);
    m_policy = policy;
  }
  // Ends the slow start of the group and gives its servers equal latencies.
  void PassSlowStart(const ShardGroup& group) {
    const RoutingPolicy policy = std::exchange(
        m_policy, RoutingPolicy{.choice = ReplicaChoice::kRandom});
    RunSubRequest(group);
    m_timers.Advance(config::kSlowStartWindow);
    for (int i = 0; i < 30; ++i) {
      RunSubRequest(group);
    }
    m_policy = policy;
  }
  ServerStatus Status(const ServerId& id) const {
    for (const ServerStatus& status : m_table->Status()) {
      if (status.id == id) {
        return status;
      }
    }
    return {};
  }
  // Runs `count` sub-requests, each with the latency of its server, and returns
  // their number for each server.
  std::map<std::string, int> CountByServer(
      const ShardGroup& group,
      int count,
      const std::map<std::string, Duration>& latencies) {
    std::map<std::string, int> spread;
    for (int i = 0; i < count; ++i) {
      if (auto server = Acquire(group)) {
        const Duration latency = latencies.at(server->value());
        m_timers.Advance(latency);
        Release(*server, SubOutcome::kOk, latency);
        ++spread[server->value()];
      }
    }
    return spread;
  }

  ManualTimerService m_timers;
  std::unique_ptr<ServerTable> m_table =
      ServerTable::Create(&m_timers, MakeRandomSource(1));
  ServerLimits m_server_limits;
  RoutingPolicy m_policy;
};

// Guards against sending most of the traffic to the slower replica.
TEST_F(ServerTableTest, PrefersFasterReplica) {
  const ShardGroup group = Group({"a", "b"});
  PassSlowStart(group);
  const auto spread = CountByServer(
      group, 1000, {{"a", milliseconds(4)}, {"b", milliseconds(12)}});
  EXPECT_GT(spread.at("a"), 900);
  m_policy.choice = ReplicaChoice::kRandom;
  const auto random = CountByServer(
      group, 1000, {{"a", milliseconds(4)}, {"b", milliseconds(12)}});
  EXPECT_GT(random.at("b"), 400);
}

// Guards against a replica that gets no more work after a slow phase.
TEST_F(ServerTableTest, SlowReplicaIsTriedAgain) {
  const ShardGroup group = Group({"a", "b"});
  PassSlowStart(group);
  CountByServer(group, 200, {{"a", milliseconds(4)}, {"b", milliseconds(12)}});
  const auto spread = CountByServer(
      group, 5000, {{"a", milliseconds(4)}, {"b", milliseconds(2)}});
  EXPECT_GT(spread.at("b"), 1000);
}

// Guards against replica selection that ignores outstanding sub-requests.
TEST_F(ServerTableTest, SpreadsOutstandingRequests) {
  m_server_limits.slots = 4;
  const ShardGroup group = Group({"a", "b"});
  PassSlowStart(group);
  for (ReplicaChoice choice :
       {ReplicaChoice::kLeastOutstanding, ReplicaChoice::kLatencyOutstanding}) {
    m_policy.choice = choice;
    const auto first = Acquire(group);
    const auto second = Acquire(group);
    ASSERT_TRUE(first && second);
    EXPECT_NE(*first, *second);
    Release(*first);
    Release(*second);
  }
}

// Guards against exceeding a server's concurrency limit, and against a limit
// below one if there are more instances than slots.
TEST_F(ServerTableTest, LimitIsShareOfSlotsButAtLeastOne) {
  m_table->SetLiveInstances(8);
  const ShardGroup group = Group({"a", "b"});
  const auto first = Acquire(group);
  const auto second = Acquire(group);
  ASSERT_TRUE(first && second);
  EXPECT_EQ(Acquire(group), std::nullopt);
  EXPECT_EQ(Acquire(group, {*first}), std::nullopt);
  Release(*first);
  EXPECT_EQ(Acquire(group), first);
  m_policy.concurrency_limits = false;
  EXPECT_TRUE(Acquire(group));
}

// Guards against a limit that exceeds slots plus queue, ignores the connection
// quota, or does not shrink when the server refuses.
TEST_F(ServerTableTest, LimitGrowsToBoundAndShrinksOnRefusals) {
  const ShardGroup group = Group({"a"});
  PassSlowStart(group);
  const auto saturate = [&](SubOutcome outcome) {
    for (int i = 0; i < 200; ++i) {
      std::vector<ServerId> acquired;
      while (auto server = Acquire(group)) {
        acquired.push_back(*server);
      }
      m_timers.Advance(milliseconds(5));
      for (const ServerId& server : acquired) {
        Release(server, outcome);
      }
    }
  };
  saturate(SubOutcome::kOk);
  EXPECT_EQ(Status(ServerId("a")).concurrency_limit,
            m_server_limits.slots + config::kMaxServerQueueLength);
  saturate(SubOutcome::kOverloaded);
  EXPECT_EQ(Status(ServerId("a")).concurrency_limit, 1);
  m_table->SetLiveInstances(8);
  saturate(SubOutcome::kOk);
  EXPECT_EQ(Status(ServerId("a")).concurrency_limit, 2)
      << "25 connections over 8 instances";
}

// Guards against failing servers that stay in use, and against probes with more
// than one sub-request.
TEST_F(ServerTableTest, EjectsFailingServerThenProbesOnce) {
  const ShardGroup group = Group({"a", "b"});
  PassSlowStart(group);
  EjectByFailures(group, ServerId("b"));
  EXPECT_GT(Status(ServerId("b")).time_until_probe, seconds(1));
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(RunSubRequest(group, SubOutcome::kOk, milliseconds(1)),
              ServerId("a"));
  }
  m_timers.Advance(Status(ServerId("b")).time_until_probe);
  EXPECT_EQ(Acquire(group), ServerId("b"));
  EXPECT_EQ(Acquire(group), ServerId("a"));
  m_timers.Advance(milliseconds(5));
  Release(ServerId("b"));
  EXPECT_FALSE(Status(ServerId("b")).ejected);
  EXPECT_TRUE(Status(ServerId("b")).slow_start);
}

// Guards against a constant ejection time, with which an unreachable server
// causes a failed request every few seconds.
TEST_F(ServerTableTest, FailedProbesLengthenEjection) {
  const ShardGroup group = Group({"a", "b"});
  PassSlowStart(group);
  EjectByFailures(group, ServerId("b"));
  Duration last = Status(ServerId("b")).time_until_probe;
  for (int i = 0; i < 3; ++i) {
    m_timers.Advance(Status(ServerId("b")).time_until_probe);
    ASSERT_EQ(RunSubRequest(group, SubOutcome::kTimedOut), ServerId("b"));
    const Duration next = Status(ServerId("b")).time_until_probe;
    EXPECT_GT(next, last);
    last = next;
  }
  for (int i = 0; i < 10; ++i) {
    m_timers.Advance(Status(ServerId("b")).time_until_probe);
    ASSERT_EQ(RunSubRequest(group, SubOutcome::kTimedOut), ServerId("b"));
  }
  EXPECT_LE(Status(ServerId("b")).time_until_probe,
            config::kMaxEjectionTime * 5 / 4);
}

// Guards against a probe that stays outstanding after it was cancelled, and
// against mistaking the reply to an earlier sub-request for the probe's.
TEST_F(ServerTableTest, CancelledProbeIsRepeated) {
  const ShardGroup group = Group({"a", "b"});
  PassSlowStart(group);
  EjectByFailures(group, ServerId("b"));
  m_timers.Advance(Status(ServerId("b")).time_until_probe);
  ASSERT_EQ(RunSubRequest(group, SubOutcome::kCancelled), ServerId("b"));
  EXPECT_TRUE(Status(ServerId("b")).ejected);
  // The latency includes time before the probe was sent.
  ASSERT_EQ(Acquire(group), ServerId("b"));
  Release(ServerId("b"), SubOutcome::kOk, seconds(100));
  EXPECT_FALSE(Status(ServerId("b")).ejected);
}

// Guards against counting refusals as failures of the server.
TEST_F(ServerTableTest, RefusalsAreNotFailures) {
  const ShardGroup group = Group({"a", "b"});
  PassSlowStart(group);
  for (SubOutcome outcome :
       {SubOutcome::kSnapshotNotServed, SubOutcome::kGroupNotHeld,
        SubOutcome::kCancelled, SubOutcome::kNoConnection}) {
    for (int i = 0; i < 100; ++i) {
      ASSERT_TRUE(RunSubRequest(group, outcome)) << ToString(outcome);
    }
  }
  EXPECT_EQ(Status(ServerId("a")).consecutive_failures, 0);
  EXPECT_FALSE(Status(ServerId("a")).ejected || Status(ServerId("b")).ejected);
}

// Guards against a server that stays in use although it is much slower than its
// peers.
TEST_F(ServerTableTest, EjectsServerMuchSlowerThanPeers) {
  const ShardGroup group = Group({"a", "b", "c", "d"});
  m_policy.choice = ReplicaChoice::kRandom;
  PassSlowStart(group);
  const std::map<std::string, Duration> latencies{{"a", milliseconds(5)},
                                                  {"b", milliseconds(6)},
                                                  {"c", milliseconds(5)},
                                                  {"d", milliseconds(60)}};
  CountByServer(group, 200, latencies);
  EXPECT_TRUE(Status(ServerId("d")).ejected);
  EXPECT_FALSE(Status(ServerId("b")).ejected);
}

// Guards against a group without a usable server if one server is ejected while
// the others drain.
TEST_F(ServerTableTest, UsesEjectedServerRatherThanNone) {
  const ShardGroup group = Group({"a", "b"});
  PassSlowStart(group);
  EjectByFailures(group, ServerId("b"));
  m_table->MarkDraining(ServerId("a"), DrainSource::kPlatform);
  EXPECT_EQ(Acquire(group), ServerId("b"));
}

// Guards against new work for a draining server, for every source of the mark.
TEST_F(ServerTableTest, DrainingServerGetsNoNewWork) {
  const ShardGroup group = Group({"a", "b"});
  PassSlowStart(group);
  for (DrainSource source : {DrainSource::kServer, DrainSource::kPlatform,
                             DrainSource::kPeer, DrainSource::kSettings}) {
    m_table->MarkDraining(ServerId("a"), source);
    EXPECT_EQ(Status(ServerId("a")).drain_source, source);
    for (int i = 0; i < 50; ++i) {
      EXPECT_EQ(RunSubRequest(group), ServerId("b"));
    }
    m_table->ClearDraining(ServerId("a"));
    EXPECT_FALSE(Status(ServerId("a")).draining);
  }
  const auto server = RunSubRequest(group, SubOutcome::kDraining);
  ASSERT_TRUE(server);
  EXPECT_TRUE(Status(*server).draining);
  m_table->MarkDraining(ServerId("a"), DrainSource::kPeer);
  m_table->MarkDraining(ServerId("b"), DrainSource::kPeer);
  EXPECT_EQ(Acquire(group), std::nullopt);
}

// Guards against clearing the mark on a reply to an earlier sub-request, and
// against a mark that doesn't expire when it is not renewed.
TEST_F(ServerTableTest, DrainMarkExpiresIntoSlowStart) {
  const ShardGroup group = Group({"a"});
  PassSlowStart(group);
  const auto in_flight = Acquire(group);
  ASSERT_TRUE(in_flight);
  m_table->MarkDraining(ServerId("a"), DrainSource::kServer);
  // A peer's mark does not replace a mark from a direct source.
  m_table->MarkDraining(ServerId("a"), DrainSource::kPeer);
  EXPECT_EQ(Status(ServerId("a")).drain_source, DrainSource::kServer);
  Release(*in_flight);
  EXPECT_EQ(Acquire(group), std::nullopt);
  m_timers.Advance(config::kDrainMarkDuration);
  EXPECT_TRUE(Acquire(group));
  EXPECT_TRUE(Status(ServerId("a")).slow_start);
}

// Guards against instances that renew each other's drain marks indefinitely.
TEST_F(ServerTableTest, RepeatedPeerReportsExpire) {
  const ShardGroup group = Group({"a"});
  auto other = ServerTable::Create(&m_timers, MakeRandomSource(2));
  const auto is_draining = [](const ServerTable& table) {
    const std::vector<ServerStatus> status = table.Status();
    return !status.empty() && status.front().draining;
  };
  m_table->MarkDraining(ServerId("a"), DrainSource::kServer);
  for (int i = 0; i < 400; ++i) {
    if (is_draining(*m_table)) {
      other->MarkDraining(ServerId("a"), DrainSource::kPeer);
    }
    if (is_draining(*other)) {
      m_table->MarkDraining(ServerId("a"), DrainSource::kPeer);
    }
    m_timers.Advance(milliseconds(500));
  }
  EXPECT_FALSE(is_draining(*m_table) || is_draining(*other));
  other->MarkDraining(ServerId("a"), DrainSource::kPeer);
  EXPECT_TRUE(is_draining(*other)) << "a later drain is reported again";
}

// Guards against a group that becomes unavailable because all its servers
// wrongly report that they are draining.
TEST_F(ServerTableTest, ReportedDrainOfServingServerIsLastResort) {
  const ShardGroup group = Group({"a", "b"});
  PassSlowStart(group);
  SubReply reply;
  reply.outcome = SubOutcome::kOk;
  reply.load = LoadHint{.draining = true};
  const auto server = Acquire(group);
  ASSERT_TRUE(server);
  m_table->Release(*server, reply, milliseconds(5));
  for (int i = 0; i < 20; ++i) {
    EXPECT_NE(RunSubRequest(group), server);
  }
  const auto other = Acquire(group);
  m_table->Release(*other, reply, milliseconds(5));
  EXPECT_TRUE(RunSubRequest(group));
}

// Guards against a new server that gets its full share of load at once.
TEST_F(ServerTableTest, NewServerRampsUp) {
  m_server_limits.slots = 100;
  m_policy.choice = ReplicaChoice::kLeastOutstanding;
  PassSlowStart(Group({"a", "b"}));
  const ShardGroup group = Group({"a", "b", "c"});
  const std::map<std::string, Duration> latencies{
      {"a", Duration(100)}, {"b", Duration(100)}, {"c", Duration(100)}};
  auto cold = CountByServer(group, 1000, latencies);
  EXPECT_LT(cold["c"], 120);
  EXPECT_GT(cold["c"], 0);
  m_timers.Advance(config::kSlowStartWindow);
  auto warm = CountByServer(group, 1000, latencies);
  EXPECT_GT(warm["c"], 250);
}

// Guards against load reports that outweigh this instance's own observations or
// don't decay with age.
TEST_F(ServerTableTest, LoadReportHasLowWeightAndDecays) {
  const ShardGroup group = Group({"a", "b"});
  PassSlowStart(group);
  const std::map<std::string, Duration> equal{{"a", milliseconds(5)},
                                              {"b", milliseconds(5)}};
  CountByServer(group, 100, equal);
  const auto report = [&](uint32_t queued) {
    const auto server = Acquire(group);
    SubReply reply;
    reply.outcome = SubOutcome::kOk;
    reply.load = LoadHint{.running = 2, .queued = queued};
    m_table->Release(*server, reply, milliseconds(5));
    return *server;
  };
  const ServerId busy = report(2);
  EXPECT_NE(Acquire(group), busy);
  EXPECT_EQ(Acquire(group), busy) << "one own request outweighs the report";
}

// Guards against sending work to a server right after it refused for overload
// while another one is free.
TEST_F(ServerTableTest, AvoidsServerThatRefusedForOverload) {
  const ShardGroup group = Group({"a", "b"});
  PassSlowStart(group);
  SubReply refusal;
  refusal.outcome = SubOutcome::kOverloaded;
  refusal.retry_after = milliseconds(100);
  const auto server = Acquire(group);
  ASSERT_TRUE(server);
  m_table->Release(*server, refusal, milliseconds(1));
  const TimePoint end = m_timers.Now() + config::kMaxOverloadBackoff;
  int avoided = 0;
  for (; m_timers.Now() < end; ++avoided) {
    EXPECT_NE(RunSubRequest(group), server);
  }
  EXPECT_GT(avoided, 0);
  m_table->MarkDraining(ServerId(*server == ServerId("a") ? "b" : "a"),
                        DrainSource::kPeer);
  EXPECT_EQ(RunSubRequest(group), server);
}

// Guards against unbounded growth of the table, and against removing a server
// with outstanding sub-requests.
TEST_F(ServerTableTest, RemovesUnlistedServers) {
  for (int i = 0; i < 100; ++i) {
    RunSubRequest(Group({std::to_string(i).c_str()}));
  }
  Acquire(Group({"busy"}));
  EXPECT_EQ(m_table->Status().size(), 101);
  const Duration step = config::kServerSweepPeriod;
  for (Duration t{0}; t <= config::kServerRetention + step; t += step) {
    RunSubRequest(Group({"listed"}));
    m_timers.Advance(step);
  }
  EXPECT_EQ(m_table->Status().size(), 2);
  Release(ServerId("unknown"));
}

// Guards against a sweep that accesses the table after its destruction.
TEST_F(ServerTableTest, TimerDoesNotOutliveTable) {
  m_table.reset();
  EXPECT_EQ(m_timers.NextDue(), std::nullopt);
}

}  // namespace
}  // namespace wasabihook
