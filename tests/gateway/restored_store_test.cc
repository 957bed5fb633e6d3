// Pattern: a store that comes back from a copy some seconds old and gives out
// revisions again. Six instances in two data centres; the first of each
// watches the store.

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/store_position.h"
#include "gateway_fixture.h"

namespace wasabihook::gateway {
namespace {

TEST(StorePosition, LaterEraIsNewerAtALowerRevision) {
  const StorePosition before{.era = StoreEra(1), .revision = Revision(90)};
  const StorePosition after{.era = StoreEra(2), .revision = Revision(70)};
  EXPECT_LT(before, after);
  EXPECT_EQ(JudgeEra(StoreEra(1), StoreEra(2)), ReplyEra::kRestored);
  EXPECT_EQ(JudgeEra(StoreEra(2), StoreEra(1)), ReplyEra::kStale);
  EXPECT_EQ(JudgeEra(StoreEra(2), StoreEra(2)), ReplyEra::kSame);
  EXPECT_EQ(JudgeEra(StoreEra(2), std::nullopt), ReplyEra::kSame);
}

class RestoredStoreTest : public GatewayTest {
 protected:
  static constexpr size_t kInstances = 6;
  // Bound for applying a configuration.
  static constexpr Duration kApplyTime = seconds(3);

  // The instances of `at_other_address` use the other address of the store.
  void StartAll(const std::set<size_t>& at_other_address = {}) {
    for (size_t i = 0; i < kInstances; ++i) {
      m_settings.store_address = at_other_address.contains(i)
                                     ? m_store.other_address()
                                     : m_store.address();
      m_settings.instance = InstanceId("gateway-" + std::to_string(i));
      m_settings.data_centre = DataCentreId(i % 2 == 0 ? "a" : "b");
      m_gateways.push_back(StartOne());
    }
    Wait(milliseconds(1500));
  }

  std::unique_ptr<Gateway> StartOne() {
    auto gateway = std::make_unique<Gateway>(
        &m_loop, m_settings, "/nonexistent",
        platform_adapter::MakePlatformAdapter(),
        platform_adapter::MakeStoreCodec(), MakeRandomSource(++m_starts));
    EXPECT_TRUE(RunUntil(m_loop, [&gateway] { return gateway->ready(); }));
    return gateway;
  }

  void Wait(Duration time) {
    RunUntil(
        m_loop, [] { return false; }, time);
  }

  int StatusOf(size_t instance, const std::string& line) {
    FakeCaller caller(&m_loop, m_gateways[instance]->caller_address());
    caller.Send(Head(line));
    EXPECT_TRUE(RunUntil(m_loop, [&caller] { return caller.done(); }));
    return caller.done() ? caller.reply().status : 0;
  }

  // The store is away for a moment and comes back from `copy`.
  void Restore(const FakeStoreServer::Copy& copy) {
    m_store.SetRefusing(true);
    Wait(milliseconds(300));
    m_store.Restore(copy);
    m_store.SetRefusing(false);
  }

  static std::string InstanceKey(size_t instance) {
    return "wasabihook/instances/gateway-" + std::to_string(instance);
  }

  std::vector<std::unique_ptr<Gateway>> m_gateways;
  uint64_t m_starts = 0;
};

// Guards against changes that get the revision of a lost one: the instances
// that follow others dropped them as known, so routes that had been added were
// answered with 404.
TEST_F(RestoredStoreTest, ChangeAtALostRevisionIsInForceEverywhere) {
  StartAll();
  const auto copy = m_store.TakeCopy();
  for (int version = 2; version <= 4; ++version)
    PutConfig(version);
  Wait(milliseconds(800));
  Restore(*copy);
  m_store.RepeatLostChanges();
  Wait(milliseconds(800));
  PutConfig(5, true);
  Wait(kApplyTime);
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_EQ(StatusOf(i, "GET /extra/q"), 200) << i;
}

// Guards against a watch that goes on at a revision which the restored store
// has given out again meanwhile.
TEST_F(RestoredStoreTest, MoreChangesThanWereLostAreInForceEverywhere) {
  StartAll();
  const auto copy = m_store.TakeCopy();
  m_store.Put("op/other", "1");
  Wait(milliseconds(800));
  m_store.SetRefusing(true);
  Wait(milliseconds(300));
  m_store.Restore(*copy);
  PutConfig(2, true);
  for (int i = 0; i < 8; ++i)
    m_store.Put("op/other", "2");
  m_store.SetRefusing(false);
  Wait(kApplyTime);
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_EQ(StatusOf(i, "GET /extra/q"), 200) << i;
}

// Guards against a version in force that goes back to the one in the copy.
TEST_F(RestoredStoreTest, VersionInForceDoesNotGoBack) {
  StartAll();
  const auto copy = m_store.TakeCopy();
  PutConfig(2, true);
  Wait(milliseconds(800));
  Restore(*copy);
  Wait(kApplyTime);
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_EQ(StatusOf(i, "GET /extra/q"), 200) << i;
}

// Guards against instances that the store turns away, the first of a data
// centre and another: once others told them that the store was restored, they
// waited for the store itself and got no further configuration.
TEST_F(RestoredStoreTest, InstancesTurnedAwayReadFromOthers) {
  const std::set<size_t> turned_away = {0, 4};
  StartAll(turned_away);
  const auto copy = m_store.TakeCopy();
  PutConfig(2);
  m_store.SetOtherRefusing(true);
  Wait(milliseconds(2500));
  Restore(*copy);
  m_store.RepeatLostChanges();
  Wait(milliseconds(2500));
  PutConfig(3, true);
  Wait(kApplyTime);
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_EQ(StatusOf(i, "GET /extra/q"), 200) << i;
}

// Guards against a listing that takes longer than the period of the pings and
// is started anew by each of them.
TEST_F(RestoredStoreTest, SlowListingComesToItsEnd) {
  Start();
  const auto copy = m_store.TakeCopy();
  m_store.SetListingDelay(milliseconds(200));
  PutConfig(2);
  Wait(milliseconds(800));
  Restore(*copy);
  PutConfig(3, true);
  Wait(seconds(5));
  EXPECT_EQ(SendRequest("GET /extra/q").status, 200);
}

// Guards against instances that don't know of each other because their entries
// were lost with the leases.
TEST_F(RestoredStoreTest, InstancesRegisterAgainAtOnce) {
  const auto copy = m_store.TakeCopy();
  StartAll();
  Restore(*copy);
  EXPECT_FALSE(m_store.Has(InstanceKey(0)));
  Wait(milliseconds(1800));
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_TRUE(m_store.Has(InstanceKey(i))) << i;
}

// Guards against a server that is used again because the copy lists it as it
// was before it said that it leaves.
TEST_F(RestoredStoreTest, DrainingServerStaysSo) {
  Start();
  const auto copy = m_store.TakeCopy();
  json draining = json::parse(Server("w1").Entry("writes", "draining"));
  draining["seq"] = 2;
  m_store.Put("servers/w1", draining.dump());
  Wait(milliseconds(800));
  Restore(*copy);
  Wait(milliseconds(1500));
  const uint32_t before = Server("w1").received_requests();
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(SendRequest("POST /write/a", "x").status, 200);
  EXPECT_EQ(Server("w1").received_requests(), before);
}

// Guards against a server that has left and is used again because the copy
// still lists it.
TEST_F(RestoredStoreTest, ServerThatLeftStaysOut) {
  Start();
  json entry = json::parse(Server("w1").Entry("writes"));
  entry["seq"] = 2;
  m_store.Put("servers/w1", entry.dump());
  const auto copy = m_store.TakeCopy();
  entry["seq"] = 3;
  entry["state"] = "draining";
  m_store.Put("servers/w1", entry.dump());
  Wait(milliseconds(500));
  m_store.Remove("servers/w1");
  // Until the directory has dropped it.
  Wait(milliseconds(2500));
  Restore(*copy);
  Wait(milliseconds(1500));
  const uint32_t before = Server("w1").received_requests();
  for (int i = 0; i < 24; ++i)
    EXPECT_EQ(SendRequest("POST /write/a", "x").status, 200);
  EXPECT_EQ(Server("w1").received_requests(), before);
}

// Guards against a live server that stays out after its entry was lost with the
// lease and the store then went back.
TEST_F(RestoredStoreTest, ServerWhoseEntryLapsedReturns) {
  Start();
  const auto copy = m_store.TakeCopy();
  m_store.Remove("servers/w1");
  Wait(milliseconds(2500));
  Restore(*copy);
  Wait(milliseconds(500));
  json entry = json::parse(Server("w1").Entry("writes"));
  entry["seq"] = 2;
  m_store.Put("servers/w1", entry.dump());
  Wait(milliseconds(1000));
  const uint32_t before = Server("w1").received_requests();
  for (int i = 0; i < 12; ++i)
    EXPECT_EQ(SendRequest("POST /write/a", "x").status, 200);
  EXPECT_GT(Server("w1").received_requests(), before);
}

}  // namespace
}  // namespace wasabihook::gateway
