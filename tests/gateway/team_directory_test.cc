// Teams, their keys, and what callers and servers learn of them.

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "gateway/teams/team_directory.h"
#include "gateway_fixture.h"
#include "platform/routing_format.h"

namespace wasabihook::gateway {
namespace {

constexpr double kHuge = 1e300;

TeamConfig MakeTeam(const std::string& name,
                    const std::vector<std::string>& keys,
                    Allowance allowance = {}) {
  return {.id = TeamId(name),
          .api_keys = keys,
          .priority = std::nullopt,
          .allowance = allowance};
}

HeaderList Fields(
    const std::vector<std::pair<std::string, std::string>>& fields) {
  HeaderList out;
  for (const auto& [name, value] : fields) {
    out.AppendName(name);
    out.AppendValue(value);
  }
  return out;
}

// Guards against a key that opens the data of another team.
TEST(TeamDirectory, FindsTheTeamOfEachKey) {
  const TeamDirectory teams({MakeTeam("a", {"k1", "k2"}), MakeTeam("b", {"k3"}),
                             MakeTeam("withdrawn", {})});
  EXPECT_EQ(teams.FindByKey("k2")->id, TeamId("a"));
  EXPECT_EQ(teams.FindByKey("k3")->id, TeamId("b"));
  for (const char* unknown : {"", "k", "k11", "K1"})
    EXPECT_EQ(teams.FindByKey(unknown), nullptr) << unknown;
}

// Guards against a configuration that takes effect in part, or that exhausts
// the memory of an instance.
TEST(TeamDirectory, RejectsWhatIsAmbiguousOrOutOfRange) {
  const auto rejected = [](const std::vector<TeamConfig>& teams) {
    EXPECT_THROW(TeamDirectory{teams}, std::runtime_error);
  };
  rejected({MakeTeam("a", {"k1"}), MakeTeam("b", {"k1"})});
  rejected({MakeTeam("a", {"k1", "k1"})});
  rejected({MakeTeam("a", {"k1"}), MakeTeam("a", {"k2"})});
  rejected({MakeTeam("a", {""})});
  rejected({MakeTeam("a", {"k 1"})});
  rejected({MakeTeam("a\r\nX: y", {"k1"})});
  rejected({MakeTeam("a", {"k1"}, {.rate = -1, .burst = 0})});
  rejected({MakeTeam("a", {"k1"}, {.rate = kHuge, .burst = 0})});
  rejected({MakeTeam("a", {"k1"}, {.rate = 1, .burst = kHuge})});
  std::vector<std::string> keys;
  for (int i = 0; i < 50'000; ++i)
    keys.push_back("key" + std::to_string(i));
  rejected({MakeTeam("a", keys)});
}

// Guards against error messages that show the keys of callers.
TEST(TeamDirectory, ErrorsDoNotShowKeys) {
  try {
    const TeamDirectory teams(
        {MakeTeam("a", {"very-secret"}), MakeTeam("b", {"very-secret"})});
    FAIL() << "a key of two teams was accepted";
  } catch (const std::runtime_error& error) {
    EXPECT_EQ(std::string(error.what()).find("very-secret"), std::string::npos);
  }
  try {
    platform_adapter::DecodeRouting(
        R"({"version":1,"tenants":[{"name":"a","api_keys":["very-secret"x]}]})");
    FAIL() << "malformed JSON was accepted";
  } catch (const std::exception& error) {
    EXPECT_EQ(std::string(error.what()).find("very-secret"), std::string::npos);
  }
}

TEST(IdentifyCaller, NeedsExactlyOneKnownKeyUnlessTheRouteIsPublic) {
  const TeamDirectory teams({MakeTeam("a", {"k1"}), MakeTeam("b", {"k2"})});
  const auto status = [&teams](const HeaderList& headers, bool is_public) {
    return IdentifyCaller(teams, headers, "X-Key", is_public).status;
  };
  EXPECT_EQ(status(Fields({{"x-kEY", "k1"}}), false), CallerStatus::kAccepted);
  EXPECT_EQ(status(Fields({}), false), CallerStatus::kNoKey);
  EXPECT_EQ(status(Fields({{"X-Key", "k9"}}), false),
            CallerStatus::kUnknownKey);
  EXPECT_EQ(status(Fields({{"X-Key", "k1"}, {"x-key", "k2"}}), false),
            CallerStatus::kSeveralKeys);
  EXPECT_EQ(status(Fields({}), true), CallerStatus::kAccepted);
  EXPECT_EQ(IdentifyCaller(TeamDirectory(), Fields({}), "X-Key", false).status,
            CallerStatus::kAccepted);
}

// End to end.
class TeamsTest : public GatewayTest {
 protected:
  // Writes a configuration with one route and one team, which has `keys`.
  void PutTeam(int version,
               const std::vector<std::string>& keys,
               double rate = 0,
               double burst = 0) {
    const json route = {{"name", "single"},          {"host", "h.example"},
                        {"path_prefix", "/single/"}, {"type", "idempotent"},
                        {"timeout_ms", 500},         {"slo_ms", 200},
                        {"backend", "writes"}};
    m_store.Put("op/config",
                json{{"version", version},
                     {"routes", json::array({route})},
                     {"backends",
                      json::array({{{"name", "writes"}, {"max_conns", 25}}})},
                     {"tenants", json::array({{{"name", "team-a"},
                                               {"api_keys", keys},
                                               {"rate_per_s", rate},
                                               {"burst", burst}}})},
                     {"limits", json::object()}}
                    .dump());
  }

  int StatusWith(const std::string& fields) {
    FakeCaller caller(&m_loop, m_gateway->caller_address());
    caller.Send(Head("GET /single/x") + fields);
    EXPECT_TRUE(RunUntil(m_loop, [&caller] { return caller.done(); }));
    return caller.done() ? caller.reply().status : 0;
  }

  bool StatusBecomes(const std::string& fields, int status) {
    for (int i = 0; i < 100; ++i) {
      if (StatusWith(fields) == status)
        return true;
      RunUntil(
          m_loop, [] { return false; }, milliseconds(50));
    }
    return false;
  }
};

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kTooMany = 429;

// Guards against requests that run without a key, and against a withdrawn key
// that comes into use again with an older version.
TEST_F(TeamsTest, KeysComeIntoForceAndNeverGoBack) {
  PutTeam(5, {"k1", "k2"});
  Start();
  EXPECT_EQ(StatusWith("\r\nX-Key: k1"), kOk);
  EXPECT_EQ(StatusWith(""), kUnauthorized);
  EXPECT_EQ(StatusWith("\r\nX-Key: k9"), kUnauthorized);
  PutTeam(7, {"k2"});
  EXPECT_TRUE(StatusBecomes("\r\nX-Key: k1", kUnauthorized));
  PutTeam(5, {"k1", "k2"});
  RunUntil(
      m_loop, [] { return false; }, milliseconds(300));
  EXPECT_EQ(StatusWith("\r\nX-Key: k1"), kUnauthorized);
  EXPECT_EQ(StatusWith("\r\nX-Key: k2"), kOk);
}

// Guards against a bad configuration that replaces the last good one.
TEST_F(TeamsTest, LastGoodKeysStayInForce) {
  PutTeam(5, {"k1"});
  Start();
  PutTeam(6, {"k2", "k2"});
  RunUntil(
      m_loop, [] { return false; }, milliseconds(300));
  EXPECT_EQ(StatusWith("\r\nX-Key: k1"), kOk);
  EXPECT_EQ(StatusWith("\r\nX-Key: k2"), kUnauthorized);
}

// Guards against servers that learn a key, or believe a team that the caller
// has made up.
TEST_F(TeamsTest, ServersGetTheTeamAndNoKey) {
  PutTeam(5, {"k1"});
  Start();
  for (const char* fields :
       {"\r\nX-Key: k1", "\r\nx-key: k1\r\nx-tenant: other",
        "\r\nX-TENANT: one\r\nX-Key: k1\r\nX-Tenant: two"}) {
    ASSERT_EQ(StatusWith(fields), kOk);
    const HeaderList* seen = nullptr;
    for (const char* id : {"w1", "w2"}) {
      if (Server(id).last_headers().Has("X-Tenant"))
        seen = &Server(id).last_headers();
    }
    ASSERT_NE(seen, nullptr);
    EXPECT_EQ(seen->Count("X-Tenant"), 1U);
    EXPECT_EQ(seen->Find("X-Tenant"), "team-a");
    EXPECT_FALSE(seen->Has("X-Key"));
  }
}

// Guards against an allowance that nobody keeps, and against a rejection of
// what lies within it.
TEST_F(TeamsTest, RequestsBeyondTheAllowanceGet429) {
  m_settings.bounds.allowance_slack = 0;
  m_settings.bounds.allowance_overage = 0;
  PutTeam(5, {"k1"}, 0.001, 6);
  Start();
  int admitted = 0;
  int rejected = 0;
  for (int i = 0; i < 20; ++i) {
    const int status = StatusWith("\r\nX-Key: k1");
    admitted += status == kOk ? 1 : 0;
    rejected += status == kTooMany ? 1 : 0;
  }
  EXPECT_EQ(admitted + rejected, 20);
  // A new ledger holds a part of the burst.
  EXPECT_GE(admitted, 1);
  EXPECT_LE(admitted, 6);
}

// Guards against requests that reach the servers of an evacuated data centre.
TEST_F(TeamsTest, EvacuatedServersGetNothingUntilItIsTakenBack) {
  PutTeam(5, {"k1"});
  Start();
  ASSERT_EQ(StatusWith("\r\nX-Key: k1"), kOk);
  // All servers of the fixture are in data centre "a".
  m_store.Put("op/evacuate/a", "{}");
  ASSERT_TRUE(StatusBecomes("\r\nX-Key: k1", 503));
  const size_t before = WriteCount();
  EXPECT_EQ(StatusWith("\r\nX-Key: k1"), 503);
  EXPECT_EQ(WriteCount(), before);
  m_store.Remove("op/evacuate/a");
  EXPECT_TRUE(StatusBecomes("\r\nX-Key: k1", kOk));
}

// Guards against a body that is read in for a caller without a key.
TEST_F(TeamsTest, UnknownKeysAreRejectedBeforeTheBody) {
  PutTeam(5, {"k1"});
  Start();
  FakeCaller caller(&m_loop, m_gateway->caller_address());
  caller.Send(Head("POST /single/x") + "\r\nContent-Length: 100000");
  EXPECT_TRUE(RunUntil(m_loop, [&caller] { return caller.done(); }));
  ASSERT_TRUE(caller.done());
  EXPECT_EQ(caller.reply().status, kUnauthorized);
}

}  // namespace
}  // namespace wasabihook::gateway
