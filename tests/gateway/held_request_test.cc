// Requests that wait for a decision while newer versions of the configuration
// come into force. Real sockets on the loopback interface.

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/allowance/allowance_message.h"
#include "gateway/allowance/allowance_owners.h"
#include "gateway/feed_selector.h"
#include "gateway_fixture.h"

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kTooMany = 429;

TeamConfig Hot() {
  return {.id = TeamId("hot"),
          .api_keys = {"k1"},
          .priority = std::nullopt,
          .allowance = {.rate = 1000, .burst = 1000}};
}

// Another instance, which keeps the ledger of the team. It asks all instances
// to wait for its decision, and grants after a version of the configuration
// had the time to come into force.
class LedgerOwner {
 public:
  explicit LedgerOwner(EventLoop* loop)
      : m_loop(loop),
        m_listener(loop,
                   "127.0.0.1:0",
                   [this](const InboundRequest& request, Responder& responder) {
                     OnCall(request, responder);
                   }) {}

  const std::string& address() const { return m_listener.address(); }
  // `on_wait` runs when a request waits for the decision, `on_decision` just
  // before it is sent.
  void SetHooks(std::function<void()> on_wait,
                std::function<void()> on_decision) {
    m_on_wait = std::move(on_wait);
    m_on_decision = std::move(on_decision);
  }

 private:
  static constexpr Duration kDecisionTime = milliseconds(15);

  void OnCall(const InboundRequest& request, Responder& responder) {
    if (!request.target.starts_with("/fleet/allowance/")) {
      responder.Respond({.status = kNotFound});
      return;
    }
    std::vector<AllowanceGrant> grants;
    bool waits = false;
    for (const AllowanceClaim& claim : DecodeClaims(request.body)) {
      grants.push_back(
          {.team = claim.team, .granted = claim.wanted, .ask_first = true});
      waits = waits || claim.wanted > 0;
    }
    if (!waits) {
      responder.Respond({.body = EncodeGrants(grants)});
      return;
    }
    m_on_wait();
    m_loop->SubscribeOnce(kDecisionTime, [this, &responder, grants] {
      m_on_decision();
      responder.Respond({.body = EncodeGrants(grants)});
    });
  }

  EventLoop* const m_loop;
  std::function<void()> m_on_wait = [] {};
  std::function<void()> m_on_decision = [] {};
  CallerListener m_listener;
};

class HeldRequestTest : public GatewayTest {
 protected:
  HeldRequestTest() : m_owner(&m_loop) {
    m_store.Put(
        platform_adapter::MakePlatformAdapter().instance_prefix + OwnerId(),
        EncodeInstance({.data_centre = DataCentreId("b"),
                        .feed_address = m_owner.address()}));
  }

  // An instance that comes before the gateway for the team.
  std::string OwnerId() const {
    const TeamKey key = TeamDirectory({Hot()}).FindByKey("k1")->key;
    for (int i = 0;; ++i) {
      const std::string id = "other-" + std::to_string(i);
      AllowanceOwners owners;
      owners.SetInstances(
          {{.id = m_settings.instance, .address = "127.0.0.1:1"},
           {.id = InstanceId(id), .address = "127.0.0.1:2"}});
      if (owners.Select(key, TimePoint())->id == InstanceId(id))
        return id;
    }
  }

  void PutVersion(int version, bool split) {
    json route = {{"name", "single"},          {"host", "h.example"},
                  {"path_prefix", "/single/"}, {"type", "idempotent"},
                  {"timeout_ms", 500},         {"slo_ms", 200}};
    if (split)
      route["split"] = {{{"backend", "writes"}, {"weight", 1}},
                        {{"backend", Service(0)}, {"weight", 3}}};
    else
      route["backend"] = "writes";
    json services = json::array();
    for (const std::string& name : {std::string("writes"), Service(0)})
      services.push_back({{"name", name}, {"max_conns", 25}});
    m_store.Put(
        "op/config",
        json{{"version", version},
             {"routes", json::array({route})},
             {"backends", services},
             {"tenants", json::array({{{"name", "hot"},
                                       {"api_keys", {"k1"}},
                                       {"rate_per_s", Hot().allowance.rate},
                                       {"burst", Hot().allowance.burst}}})},
             {"limits", json::object()}}
            .dump());
  }

  int VersionInForce() const {
    const std::string text = m_gateway->metrics().Serialise();
    const std::string name = "{kind=\"config_version\"} ";
    const size_t at = text.find(name);
    return at == std::string::npos ? 0
                                   : std::stoi(text.substr(at + name.size()));
  }

  LedgerOwner m_owner;
};

// Guards against a process that ends when a version splits or joins a route
// while a request of the version before waits (review case 6): the index of a
// target of one version must not be used in the list of another.
TEST_F(HeldRequestTest, GoesToATargetOfItsOwnVersion) {
  int version = 1;
  int changed_while_waiting = 0;
  PutVersion(++version, false);
  Start();
  m_owner.SetHooks(
      [this, &version] {
        ++version;
        PutVersion(version, version % 2 != 0);
      },
      [this, &version, &changed_while_waiting] {
        changed_while_waiting += VersionInForce() == version ? 1 : 0;
      });
  int served = 0;
  for (int i = 0; i < 12; ++i) {
    // The watch of the store is opened again.
    RunUntil(
        m_loop, [] { return false; }, milliseconds(600));
    FakeCaller caller(&m_loop, m_gateway->caller_address());
    caller.Send(Head("GET /single/x") + "\r\nX-Key: k1");
    ASSERT_TRUE(RunUntil(m_loop, [&caller] { return caller.done(); }));
    ASSERT_TRUE(caller.reply().status == kOk ||
                caller.reply().status == kTooMany)
        << caller.reply().status;
    served += caller.reply().status == kOk ? 1 : 0;
  }
  EXPECT_GE(changed_while_waiting, 2);
  EXPECT_GE(served, 2);
}

}  // namespace
}  // namespace wasabihook::gateway
