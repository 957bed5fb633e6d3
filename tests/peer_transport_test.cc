#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

#include "peers/instance/http_peer_transport.h"
#include "peers/instance/peer_listener.h"

namespace wasabihook {
namespace {

using OptionalResponse = std::optional<PeerResponse>;

PeerIdentity Identity(const std::string& name) {
  return {InstanceId(name), Incarnation(1), "127.0.0.1:1",
          DataCentreId("bay-a")};
}

OptionalResponse CallAndWait(PeerTransport& transport,
                             const std::string& address,
                             PeerRequest request) {
  auto promise = std::make_shared<std::promise<OptionalResponse>>();
  transport.Call(address, std::move(request),
                 [promise](OptionalResponse response) {
                   promise->set_value(std::move(response));
                 });
  return promise->get_future().get();
}

// Guards against messages that are altered in transit, on new and on reused
// connections.
TEST(PeerTransportTest, CallsReachTheHandlerOfThePeer) {
  const std::string text(300'000, 'x');
  PeerListener listener({}, [&](const PeerRequest& request) -> PeerResponse {
    if (const auto* pull = std::get_if<PullRequest>(&request)) {
      return PullResponse{{{pull->subtrees.at(0), Revision(9), text}}};
    }
    return DigestResponse{Identity("server"), {{"fleet", Revision(3)}}};
  });
  HttpPeerTransport transport;
  for (int i = 0; i < 3; ++i) {
    DigestRequest digest;
    digest.from = Identity("client");
    const OptionalResponse listed =
        CallAndWait(transport, listener.address(), digest);
    ASSERT_TRUE(listed.has_value());
    const auto& revisions = std::get<DigestResponse>(*listed).revisions;
    ASSERT_EQ(revisions.size(), 1u);
    EXPECT_EQ(revisions[0].revision, Revision(3));
    const OptionalResponse pulled =
        CallAndWait(transport, listener.address(),
                    PullRequest{Identity("client"), {"teams/clerks"}});
    ASSERT_TRUE(pulled.has_value());
    EXPECT_EQ(std::get<PullResponse>(*pulled).subtrees.at(0).text, text);
  }
  EXPECT_GT(transport.bytes(), 3 * text.size());
}

// Guards against burn counts that are lost or changed in transit.
TEST(PeerTransportTest, CarriesBurnCounts) {
  BurnBucket bucket{7, 29'000'000, {}};
  TeamBurn burn;
  burn.team = TeamId("clerks");
  burn.cell.requests = 3;
  burn.cell.latency.Record(std::chrono::milliseconds(90));
  burn.cell
      .causes[{BurnObjective::kCoverage, BurnCauseKind::kMissingGroup, "g1"}] =
      2;
  bucket.teams.push_back(burn);
  PeerListener listener({}, [&](const PeerRequest& request) -> PeerResponse {
    const auto& counts = std::get<BurnCountsRequest>(request);
    EXPECT_EQ(counts.receiver, Incarnation(9));
    EXPECT_EQ(counts.acknowledged, 6u);
    return BurnCountsResponse{Identity("server"), {bucket}};
  });
  HttpPeerTransport transport;
  const OptionalResponse response =
      CallAndWait(transport, listener.address(),
                  BurnCountsRequest{Identity("client"), Incarnation(9), 6});
  ASSERT_TRUE(response.has_value());
  const auto& buckets = std::get<BurnCountsResponse>(*response).buckets;
  ASSERT_EQ(buckets.size(), 1u);
  EXPECT_EQ(buckets[0].sequence, 7u);
  EXPECT_EQ(buckets[0].minute, 29'000'000);
  ASSERT_EQ(buckets[0].teams.size(), 1u);
  EXPECT_EQ(buckets[0].teams[0].objectives, burn.objectives);
  EXPECT_EQ(buckets[0].teams[0].cell, burn.cell);
}

// Guards against calls that never complete when the peer does not respond, has
// shut down or returns a response of another type.
TEST(PeerTransportTest, FailuresEndWithAnEmptyResponse) {
  std::promise<void> release;
  auto released = release.get_future().share();
  PeerListener unresponsive({}, [released](const PeerRequest&) -> PeerResponse {
    released.wait();
    return PullResponse{};
  });
  PeerListener mismatched(
      {}, [](const PeerRequest&) -> PeerResponse { return PullResponse{}; });
  std::string closed_address;
  {
    PeerListener closed(
        {}, [](const PeerRequest&) -> PeerResponse { return PullResponse{}; });
    closed_address = closed.address();
  }
  PeerTransportOptions options;
  options.timeout = std::chrono::milliseconds(200);
  HttpPeerTransport transport(options);
  DigestRequest digest;
  digest.from = Identity("client");
  EXPECT_FALSE(
      CallAndWait(transport, unresponsive.address(), digest).has_value());
  EXPECT_FALSE(CallAndWait(transport, closed_address, digest).has_value());
  EXPECT_FALSE(
      CallAndWait(transport, mismatched.address(), digest).has_value());
  EXPECT_FALSE(CallAndWait(transport, "no address", digest).has_value());
  release.set_value();
}

// Guards against missing callbacks when the queue is full or the transport is
// destroyed.
TEST(PeerTransportTest, EveryCallGetsOneCallback) {
  PeerListener listener({}, [](const PeerRequest&) -> PeerResponse {
    return DigestResponse{Identity("server"), {}};
  });
  std::atomic<int> callbacks{0};
  {
    PeerTransportOptions options;
    options.max_queued = 4;
    HttpPeerTransport transport(options);
    DigestRequest digest;
    digest.from = Identity("client");
    for (int i = 0; i < 100; ++i) {
      transport.Call(listener.address(), digest,
                     [&callbacks](const OptionalResponse&) { ++callbacks; });
    }
  }
  EXPECT_EQ(callbacks.load(), 100);
}

}  // namespace
}  // namespace wasabihook
