#include "peers/backend/curl_transport.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "backend_test_util.h"

namespace wasabihook::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class BackendTransportTest : public ::testing::Test {
 protected:
  void Start(FakeFleetOptions fleet, BackendTransportOptions options = {}) {
    m_fleet = std::make_unique<FakeFleet>(std::move(fleet));
    m_transport = std::make_unique<CurlBackendTransport>(std::move(options));
    for (const FakeServerInfo& info : m_fleet->servers()) {
      m_transport->SetConnectionLimit(info.id, 4);
    }
  }
  SubReply Run(SubRequest request) {
    const SubRequestId id = request.id;
    m_transport->Send(std::move(request), m_replies.CallbackFor(id));
    return m_replies.Wait(id);
  }
  FakeServerStats ServerStats(size_t server = 0) {
    return m_fleet->Stats(m_fleet->servers()[server].id);
  }
  std::vector<std::string> ExpectedRows(size_t server,
                                        const std::string& query,
                                        uint64_t version = 1) {
    const FakeServerInfo& info = m_fleet->servers()[server];
    const uint32_t groups = m_fleet->servers().back().base_group + 1;
    return m_fleet->corpus(info.index_set)
        .View(version, groups)
        ->Search(info.base_group, query);
  }

  // Must outlive the transport, whose destructor runs the last callbacks.
  ReplyCollector m_replies;
  std::unique_ptr<FakeFleet> m_fleet;
  std::unique_ptr<CurlBackendTransport> m_transport;
};

// Guards against a reply that is passed to the callback of another sub-request.
TEST_F(BackendTransportTest, EachReplyReachesItsOwnCallback) {
  FakeFleetOptions fleet = SmallFleet(4, 2);
  fleet.index_sets[0].service_median = std::chrono::microseconds(300);
  fleet.index_sets[0].service_sigma = 1.0;
  Start(fleet);
  constexpr int kRequests = 1000;
  const auto number = [](int i) { return "sub-" + std::to_string(i); };
  const auto query = [](int i) { return "t" + std::to_string(i % 97); };
  const size_t servers = m_fleet->servers().size();
  for (int i = 0; i < kRequests; ++i) {
    const SubRequestId id(number(i));
    m_transport->Send(MakeSearch(*m_fleet, i % servers, number(i), query(i)),
                      m_replies.CallbackFor(id));
  }
  for (int i = 0; i < kRequests; ++i) {
    const SubRequestId id(number(i));
    const SubReply reply = m_replies.Wait(id);
    ASSERT_EQ(ToString(reply.outcome), "ok");
    EXPECT_EQ(reply.id, id);
    EXPECT_EQ(reply.rows, ExpectedRows(i % servers, query(i)));
    EXPECT_EQ(m_replies.calls(id), 1U);
  }
  const BackendTransportStats stats = m_transport->Stats();
  EXPECT_LE(stats.opened, servers * 4);
  EXPECT_EQ(stats.opened + stats.reused, uint64_t{kRequests});
}

// Guards against more open connections than the limit under a mix of searches,
// operations and cancellations.
TEST_F(BackendTransportTest, ConnectionLimitIsNeverExceeded) {
  FakeFleetOptions fleet = SmallFleet();
  fleet.index_sets[0].service_median = milliseconds(1);
  Start(fleet);
  m_transport->SetConnectionLimit(m_fleet->servers()[0].id, 3);
  std::vector<SubRequestId> ids;
  for (int i = 0; i < 120; ++i) {
    const std::string name = "sub-" + std::to_string(i);
    ids.emplace_back(name);
    m_transport->Send(i % 4 == 0 ? MakeOperation(*m_fleet, 0, name)
                                 : MakeSearch(*m_fleet, 0, name, "t1"),
                      m_replies.CallbackFor(ids.back()));
    if (i % 10 == 9) {
      m_transport->Cancel(ids.back());
    }
  }
  for (const SubRequestId& id : ids) {
    const SubOutcome outcome = m_replies.Wait(id).outcome;
    EXPECT_TRUE(outcome == SubOutcome::kOk || outcome == SubOutcome::kCancelled)
        << ToString(outcome);
  }
  EXPECT_LE(m_transport->Stats().open, 3U);
  // The server detects a closed connection later than the transport, so its
  // peak may exceed the limit.
  EXPECT_LE(ServerStats().peak_connections, 5U);
}

// Guards against a sub-request that waits beyond its deadline for a connection.
TEST_F(BackendTransportTest, NoConnectionWithinTheLimitIsReported) {
  FakeFleetOptions fleet = SmallFleet();
  fleet.index_sets[0].service_median = seconds(20);
  Start(fleet);
  m_transport->SetConnectionLimit(m_fleet->servers()[0].id, 1);
  m_transport->Send(MakeSearch(*m_fleet, 0, "holder", "t1"),
                    m_replies.CallbackFor(SubRequestId("holder")));
  SubRequest late = MakeSearch(*m_fleet, 0, "late", "t1");
  late.remaining = milliseconds(50);
  EXPECT_EQ(ToString(Run(late).outcome), "no_connection");
}

// Guards against a refused connection that is reported as possibly executed.
TEST_F(BackendTransportTest, RefusedConnectionIsProvablyNotRun) {
  Start(SmallFleet());
  m_fleet->Change({}, Json{{"lost", true}});
  EXPECT_EQ(ToString(Run(MakeOperation(*m_fleet, 0, "op")).outcome),
            "connect_failed");
  m_fleet->Change({}, Json{{"lost", false}});
  EXPECT_EQ(ToString(Run(MakeOperation(*m_fleet, 0, "op2")).outcome), "ok");
}

// Guards against refusals decoded without their outcome, retry delay, load or
// newest snapshot.
TEST_F(BackendTransportTest, RefusalsKeepOutcomeAndHints) {
  Start(SmallFleet());
  m_fleet->Change({}, Json{{"shed_share", 1.0}});
  const SubReply shed = Run(MakeSearch(*m_fleet, 0, "shed", "t1"));
  EXPECT_EQ(ToString(shed.outcome), "overloaded");
  EXPECT_EQ(shed.retry_after, Duration(seconds(1)));
  m_fleet->Change({}, Json{{"reset", true}, {"draining", true}});
  const SubReply draining = Run(MakeSearch(*m_fleet, 0, "drain", "t1"));
  EXPECT_EQ(ToString(draining.outcome), "draining");
  ASSERT_TRUE(draining.load);
  EXPECT_TRUE(draining.load->draining);
  m_fleet->Change({}, Json{{"draining", false}});
  m_fleet->RollIndexVersion("lenses", 2);
  m_fleet->RollIndexVersion("lenses", 3);
  const SubReply old = Run(MakeSearch(*m_fleet, 0, "old", "t1"));
  EXPECT_EQ(ToString(old.outcome), "snapshot_not_served");
  EXPECT_EQ(old.newest_snapshot, (SnapshotId{IndexVersion(3), MapVersion(1)}));
  SubRequest wrong = MakeSearch(*m_fleet, 0, "wrong", "t1");
  wrong.snapshot.index_version = IndexVersion(3);
  wrong.group = ShardGroupId("g7");
  EXPECT_EQ(ToString(Run(wrong).outcome), "group_not_held");
}

// Guards against a truncated reply that is accepted as complete.
TEST_F(BackendTransportTest, TruncatedReplyIsInvalid) {
  Start(SmallFleet());
  m_fleet->Change({}, Json{{"truncate_share", 1.0}});
  EXPECT_EQ(ToString(Run(MakeSearch(*m_fleet, 0, "cut", "t1")).outcome),
            "invalid_reply");
  m_fleet->Change({}, Json{{"reset", true}, {"short_rows_share", 1.0}});
  std::string query;
  for (int i = 0; ExpectedRows(0, query).empty(); ++i) {
    query = "t" + std::to_string(i);
  }
  EXPECT_EQ(ToString(Run(MakeSearch(*m_fleet, 0, "short", query)).outcome),
            "invalid_reply");
  const auto invalid = m_transport->Stats().invalid;
  EXPECT_EQ(invalid[static_cast<size_t>(InvalidReplyCause::kLength)], 1U);
  EXPECT_EQ(invalid[static_cast<size_t>(InvalidReplyCause::kRowCount)], 1U);
}

// Guards against accepting the reply to another sub-request. The server swaps
// the replies of two connections with concurrent sub-requests.
TEST_F(BackendTransportTest, SwappedRepliesAreInvalid) {
  Start(SmallFleet());
  m_fleet->Change({}, Json{{"swap_share", 1.0}});
  for (int round = 0; round < 20; ++round) {
    const std::string a = "a" + std::to_string(round);
    const std::string b = "b" + std::to_string(round);
    m_transport->Send(MakeSearch(*m_fleet, 0, a, "t1"),
                      m_replies.CallbackFor(SubRequestId(a)));
    m_transport->Send(MakeSearch(*m_fleet, 0, b, "t2"),
                      m_replies.CallbackFor(SubRequestId(b)));
    for (const auto& [name, query] : {std::pair(a, "t1"), std::pair(b, "t2")}) {
      const SubReply reply = m_replies.Wait(SubRequestId(name));
      if (reply.outcome == SubOutcome::kOk) {
        EXPECT_EQ(reply.rows, ExpectedRows(0, query));
      } else {
        EXPECT_EQ(ToString(reply.outcome), "invalid_reply");
      }
    }
  }
  EXPECT_GT(m_transport->Stats()
                .invalid[static_cast<size_t>(InvalidReplyCause::kRequestId)],
            0U);
}

// Guards against a duplicate reply that is taken for the reply to the next
// request on the connection.
TEST_F(BackendTransportTest, DuplicateReplyDoesNotAnswerTheNextRequest) {
  Start(SmallFleet());
  m_transport->SetConnectionLimit(m_fleet->servers()[0].id, 1);
  m_fleet->Change({}, Json{{"duplicate_share", 1.0}});
  for (int i = 0; i < 30; ++i) {
    const std::string query = "t" + std::to_string(i);
    const SubReply reply =
        Run(MakeSearch(*m_fleet, 0, "sub-" + std::to_string(i), query));
    if (reply.outcome == SubOutcome::kOk) {
      EXPECT_EQ(reply.rows, ExpectedRows(0, query));
    } else {
      EXPECT_EQ(ToString(reply.outcome), "invalid_reply");
    }
  }
}

// Guards against a late reply that is taken for the reply to a later
// sub-request: the connection of a timed-out one must not be reused.
TEST_F(BackendTransportTest, ConnectionOfTimedOutReplyIsNotReused) {
  FakeFleetOptions fleet = SmallFleet();
  Start(fleet);
  m_transport->SetConnectionLimit(m_fleet->servers()[0].id, 1);
  EXPECT_EQ(ToString(Run(MakeSearch(*m_fleet, 0, "warm", "t1")).outcome), "ok");
  m_fleet->Change({}, Json{{"slow_ms", 100}, {"ignore_deadline", true}});
  SubRequest slow = MakeSearch(*m_fleet, 0, "slow", "t1");
  slow.remaining = milliseconds(30);
  const SubReply timed_out = Run(slow);
  EXPECT_EQ(ToString(timed_out.outcome), "timed_out");
  const SubReply next = Run(MakeSearch(*m_fleet, 0, "next", "t2"));
  EXPECT_EQ(ToString(next.outcome), "ok");
  EXPECT_EQ(next.rows, ExpectedRows(0, "t2"));
  EXPECT_GE(m_transport->Stats().opened, 2U);
}

// Guards against a cancelled sub-request that keeps its slot on the server, and
// against a second callback when the reply arrives afterwards.
TEST_F(BackendTransportTest, CancelReleasesServerSlot) {
  FakeFleetOptions fleet = SmallFleet();
  fleet.index_sets[0].service_median = seconds(25);
  Start(fleet);
  const SubRequestId id("gone");
  m_transport->Send(MakeSearch(*m_fleet, 0, "gone", "t1"),
                    m_replies.CallbackFor(id));
  ASSERT_TRUE(WaitUntil([&] { return ServerStats().running == 1; }));
  m_transport->Cancel(id);
  m_transport->Cancel(id);
  EXPECT_EQ(ToString(m_replies.Wait(id).outcome), "cancelled");
  EXPECT_TRUE(WaitUntil([&] { return ServerStats().running == 0; }));
  EXPECT_TRUE(WaitUntil([&] { return ServerStats().cancel_calls >= 1; }));
  EXPECT_EQ(m_replies.calls(id), 1U);
}

// Guards against libcurl's automatic resend when a reused connection is lost
// before the reply: the server would execute the request twice.
TEST_F(BackendTransportTest, RequestIsNeverSentTwice) {
  Start(SmallFleet());
  m_transport->SetConnectionLimit(m_fleet->servers()[0].id, 1);
  for (int i = 0; i < 40; ++i) {
    const std::string name = std::to_string(i);
    m_fleet->Change({}, Json{{"lose_reply_share", 0.0}});
    ASSERT_EQ(
        ToString(Run(MakeSearch(*m_fleet, 0, "warm-" + name, "t1")).outcome),
        "ok");
    m_fleet->Change({}, Json{{"lose_reply_share", 1.0}});
    const bool operation = i % 2 == 0;
    const SubReply lost =
        Run(operation ? MakeOperation(*m_fleet, 0, "lost-" + name)
                      : MakeSearch(*m_fleet, 0, "lost-" + name, "t1"));
    EXPECT_EQ(ToString(lost.outcome), "connection_lost");
  }
  for (const auto& [key, runs] : m_fleet->log().RunsByKey()) {
    EXPECT_EQ(runs, 1U) << key;
  }
  std::map<std::string, int> runs;
  for (const auto& run : m_fleet->log().Reads()) {
    EXPECT_EQ(++runs[run.request_id], 1) << run.request_id;
  }
  EXPECT_GT(m_transport->Stats().resends_prevented, 0U);
}

// Guards against reuse of idle connections that the server has closed, which
// would report a lost connection to a healthy server.
TEST_F(BackendTransportTest, ConnectionEndedByTheServerIsNotReused) {
  Start(SmallFleet());
  for (int i = 0; i < 20; ++i) {
    const std::string name = std::to_string(i);
    ASSERT_EQ(ToString(Run(MakeSearch(*m_fleet, 0, name, "t1")).outcome), "ok");
    m_fleet->Change({}, Json{{"lost", true}});
    m_fleet->Change({}, Json{{"lost", false}});
    ASSERT_TRUE(WaitUntil([&] { return m_transport->Stats().open == 0; }));
  }
}

// Guards against waiting until the deadline on unresponsive connections while
// new ones work.
TEST_F(BackendTransportTest, SubRequestMovesOffUnresponsiveConnections) {
  BackendTransportOptions options;
  options.expected_response_time = [](const SubRequest&) {
    return milliseconds(20);
  };
  Start(SmallFleet(), options);
  std::vector<SubRequestId> ids;
  m_fleet->Change({}, Json{{"slow_ms", 5}});
  for (int i = 0; i < 4; ++i) {
    ids.emplace_back("warm-" + std::to_string(i));
    m_transport->Send(MakeSearch(*m_fleet, 0, ids.back().value(), "t1"),
                      m_replies.CallbackFor(ids.back()));
  }
  for (const SubRequestId& id : ids) {
    ASSERT_EQ(ToString(m_replies.Wait(id).outcome), "ok");
  }
  m_fleet->Change({}, Json{{"silent", true}});
  for (int i = 0; i < 8; ++i) {
    const std::string name = "sub-" + std::to_string(i);
    const SubReply reply = Run(MakeSearch(*m_fleet, 0, name, "t2"));
    EXPECT_EQ(ToString(reply.outcome), "ok");
    EXPECT_EQ(reply.rows, ExpectedRows(0, "t2"));
  }
  const BackendTransportStats stats = m_transport->Stats();
  EXPECT_GE(stats.moved, 1U);
  // One of the four unresponsive connections is closed to make room for the
  // probe under the limit.
  EXPECT_GE(stats.closed_as_suspect, 3U);
}

// Guards against failing when all connections are unresponsive and the limit
// leaves none for a probe.
TEST_F(BackendTransportTest, UnresponsiveConnectionsAtTheLimitAreReplaced) {
  BackendTransportOptions options;
  options.expected_response_time = [](const SubRequest&) {
    return milliseconds(20);
  };
  FakeFleetOptions fleet = SmallFleet();
  fleet.index_sets[0].service_median = milliseconds(5);
  Start(fleet, options);
  m_transport->SetConnectionLimit(m_fleet->servers()[0].id, 1);
  ASSERT_EQ(ToString(Run(MakeSearch(*m_fleet, 0, "warm", "t1")).outcome), "ok");
  m_fleet->Change({}, Json{{"silent", true}});
  EXPECT_EQ(ToString(Run(MakeSearch(*m_fleet, 0, "next", "t2")).outcome), "ok");
}

// Guards against unresponsive connections that stay in use when deadlines are
// shorter than the expected response time, so that each one fails a request.
TEST_F(BackendTransportTest, TimeoutMakesConnectionsOfTheSameAgeSuspect) {
  BackendTransportOptions options;
  options.expected_response_time = [](const SubRequest&) {
    return seconds(60);
  };
  Start(SmallFleet(), options);
  m_fleet->Change({}, Json{{"slow_ms", 20}});
  for (const char* name : {"warm-1", "warm-2", "warm-3"}) {
    m_transport->Send(MakeSearch(*m_fleet, 0, name, "t1"),
                      m_replies.CallbackFor(SubRequestId(name)));
  }
  for (const char* name : {"warm-1", "warm-2", "warm-3"}) {
    ASSERT_EQ(ToString(m_replies.Wait(SubRequestId(name)).outcome), "ok");
  }
  m_fleet->Change({}, Json{{"silent", true}});
  SubRequest first = MakeSearch(*m_fleet, 0, "first", "t1");
  first.remaining = milliseconds(100);
  EXPECT_EQ(ToString(Run(first).outcome), "timed_out");
  EXPECT_TRUE(
      WaitUntil([&] { return m_transport->Stats().closed_as_suspect == 2; }));
  EXPECT_EQ(ToString(Run(MakeSearch(*m_fleet, 0, "next", "t1")).outcome), "ok");
}

// Guards against an operation that is sent again because its connection became
// unresponsive.
TEST_F(BackendTransportTest, OperationIsNeverMoved) {
  BackendTransportOptions options;
  options.expected_response_time = [](const SubRequest&) {
    return milliseconds(5);
  };
  FakeFleetOptions fleet = SmallFleet();
  fleet.index_sets[0].service_median = milliseconds(100);
  Start(fleet, options);
  SubRequest request = MakeOperation(*m_fleet, 0, "op");
  request.remaining = milliseconds(400);
  m_transport->Send(request, m_replies.CallbackFor(request.id));
  ASSERT_TRUE(WaitUntil([&] { return ServerStats().running == 1; }));
  m_fleet->Change({}, Json{{"silent", true}});
  EXPECT_EQ(ToString(m_replies.Wait(request.id).outcome), "timed_out");
  EXPECT_EQ(m_fleet->log().Operations().size(), 1U);
}

// Guards against callbacks that are lost, called twice or run after the
// destructor, also when a callback sends another sub-request.
TEST_F(BackendTransportTest, DestructorCompletesEveryCallback) {
  FakeFleetOptions fleet = SmallFleet(2, 2);
  fleet.index_sets[0].service_median = seconds(20);
  Start(fleet);
  std::atomic<int> cancelled{0};
  constexpr int kRequests = 200;
  CurlBackendTransport* transport = m_transport.get();
  for (int i = 0; i < kRequests; ++i) {
    const SubRequest request =
        MakeSearch(*m_fleet, i % 4, "sub-" + std::to_string(i), "t1");
    SubRequest again = request;
    again.server = m_fleet->servers()[(i + 1) % 4].id;
    again.id = SubRequestId("again-" + std::to_string(i));
    transport->Send(request, [&cancelled, transport, again](SubReply reply) {
      cancelled += reply.outcome == SubOutcome::kCancelled ? 1 : 0;
      transport->Send(again, [&cancelled](SubReply second) {
        cancelled += second.outcome == SubOutcome::kCancelled ? 1 : 0;
      });
    });
  }
  m_transport.reset();
  EXPECT_EQ(cancelled.load(), 2 * kRequests);
}

}  // namespace
}  // namespace wasabihook::testing
