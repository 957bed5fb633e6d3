// Allowances of teams: the owner's ledger, the decision at each instance, and
// both over a fleet whose instances and messages are lost.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/allowance/allowance_gate.h"
#include "gateway/allowance/allowance_ledger.h"
#include "gateway/allowance/allowance_marks.h"
#include "gateway/allowance/allowance_message.h"
#include "gateway/allowance/allowance_owners.h"

namespace wasabihook::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 18;
constexpr double kBurst = 18;

TimePoint At(Duration since_start) {
  return TimePoint{seconds(1000)} + since_start;
}

Team MakeTeam(double rate = kRate, double burst = kBurst) {
  return {.id = TeamId("a"),
          .key = TeamKey(7),
          .priority = std::nullopt,
          .allowance = {.rate = rate, .burst = burst}};
}

AllowanceClaim Claim(const Team& team, uint32_t used, uint32_t wanted) {
  return {.team = team.key,
          .allowance = team.allowance,
          .version = ConfigVersion(1),
          .used = used,
          .returned = 0,
          .wanted = wanted};
}

// --- Ledger ---

// Guards against an owner that starts anew and gives out the burst once more.
TEST(AllowanceLedger, StartsWithAPartOfTheBurst) {
  const ServiceBounds bounds;
  AllowanceLedger ledger(&bounds);
  const AllowanceGrant grant =
      ledger.Settle(Claim(MakeTeam(), 0, 1000), At({}));
  EXPECT_GE(grant.granted, 2U);
  EXPECT_LT(grant.granted, kBurst);
  EXPECT_TRUE(grant.ask_first);
}

// Guards against use that is reported afterwards and forgotten.
TEST(AllowanceLedger, LaterRequestsMakeUpForWhatWasOverdrawn) {
  const ServiceBounds bounds;
  AllowanceLedger ledger(&bounds);
  const Team team = MakeTeam();
  ledger.Settle(Claim(team, 40, 0), At({}));
  EXPECT_EQ(ledger.Settle(Claim(team, 0, 1), At(seconds(1))).granted, 0U);
  EXPECT_EQ(ledger.Settle(Claim(team, 0, 1), At(seconds(3))).granted, 1U);
}

// Guards against requests that no server has run and that still count.
TEST(AllowanceLedger, ReturnsWhatWasNotRun) {
  const ServiceBounds bounds;
  AllowanceLedger ledger(&bounds);
  const Team team = MakeTeam();
  ledger.Settle(Claim(team, 40, 0), At({}));
  AllowanceClaim claim = Claim(team, 0, 5);
  claim.returned = 40;
  EXPECT_EQ(ledger.Settle(claim, At({})).granted, 5U);
}

// Guards against an instance with an older configuration that raises a lowered
// allowance again.
TEST(AllowanceLedger, TheNewestConfigurationHolds) {
  const ServiceBounds bounds;
  AllowanceLedger ledger(&bounds);
  AllowanceClaim lowered = Claim(MakeTeam(1, 1), 0, 0);
  lowered.version = ConfigVersion(2);
  ledger.Settle(Claim(MakeTeam(), 0, 0), At({}));
  ledger.Settle(lowered, At({}));
  uint32_t granted = 0;
  for (int i = 0; i < 50; ++i)
    granted +=
        ledger.Settle(Claim(MakeTeam(), 0, 10), At(milliseconds(100) * i))
            .granted;
  EXPECT_LE(granted, 1 + 1 * 5 + bounds.allowance_slack);
}

TEST(AllowanceLedger, ForgetsTeamsWithoutClaims) {
  const ServiceBounds bounds;
  AllowanceLedger ledger(&bounds);
  ledger.Settle(Claim(MakeTeam(), 1, 0), At({}));
  ledger.Sweep(At(kAllowanceAccountExpiry + seconds(1)));
  EXPECT_EQ(ledger.teams(), 0U);
}

// --- Messages ---

TEST(AllowanceMessage, KeepsClaimsAndGrants) {
  const std::vector<AllowanceClaim> claims = {Claim(MakeTeam(), 3, 2)};
  EXPECT_EQ(DecodeClaims(EncodeClaims(claims)), claims);
  const std::vector<AllowanceGrant> grants = {{.team = TeamKey(7),
                                               .granted = 2,
                                               .ask_first = true,
                                               .more_expected = true,
                                               .wait = milliseconds(50),
                                               .spread = milliseconds(10)}};
  EXPECT_EQ(DecodeGrants(EncodeGrants(grants)), grants);
  const std::vector<AllowanceTransfer> transfers = {
      {.team = TeamKey(7),
       .allowance = MakeTeam().allowance,
       .version = ConfigVersion(3),
       .wanted = 2.5}};
  EXPECT_EQ(DecodeTransfers(EncodeTransfers(transfers)), transfers);
  const std::vector<AllowanceTransferReply> replies = {
      {.team = TeamKey(7), .given = 1.5, .left = 0.25}};
  EXPECT_EQ(DecodeTransferReplies(EncodeTransferReplies(replies)), replies);
}

// Guards against a malformed call that ends the process or is half applied.
TEST(AllowanceMessage, RejectsMalformedText) {
  for (const std::string& text :
       {std::string(), std::string("\xff\xff"), std::string("\x91\x91\x01"),
        EncodeClaims({Claim(MakeTeam(-1, 1), 0, 0)}),
        EncodeClaims({Claim(MakeTeam(1e300, 1), 0, 0)})})
    EXPECT_THROW(DecodeClaims(text), std::exception);
  for (const std::string& text :
       {std::string(), std::string("\xff\xff"), std::string("\x91\x91\x01"),
        EncodeTransferReplies({{.team = TeamKey(7), .given = -1}}),
        EncodeTransferReplies({{.team = TeamKey(7), .left = 1e300}})})
    EXPECT_THROW(DecodeTransferReplies(text), std::exception);
  EXPECT_THROW(DecodeTransfers(EncodeTransfers({{.team = TeamKey(7),
                                                 .allowance = {},
                                                 .version = {},
                                                 .wanted = -1}})),
               std::exception);
}

// --- Owners ---

// Guards against two ledgers of a team while all instances see the same fleet,
// and against a lost owner that stops everyone.
TEST(AllowanceOwners, AllSelectTheSameOneThatIsNotLost) {
  std::vector<AllowanceOwner> instances;
  for (int i = 0; i < 71; ++i)
    instances.push_back({.id = InstanceId("i" + std::to_string(i)),
                         .address = "10.0.0." + std::to_string(i) + ":1"});
  AllowanceOwners a;
  AllowanceOwners b;
  a.SetInstances(instances);
  std::reverse(instances.begin(), instances.end());
  b.SetInstances(instances);
  const TeamKey team(99);
  const std::string first = a.Select(team, At({}))->address;
  EXPECT_EQ(first, b.Select(team, At({}))->address);
  a.OnUnreachable(first, At({}));
  EXPECT_NE(a.Select(team, At({}))->address, first);
  EXPECT_EQ(a.Select(team, At(kAllowanceRetryDelay))->address, first);
  for (size_t i = 0; i < kAllowanceOwners; ++i) {
    if (const AllowanceOwner* owner = a.Select(team, At({})))
      a.OnUnreachable(owner->address, At({}));
  }
  EXPECT_EQ(a.Select(team, At({})), nullptr);
}

// --- Marks ---

TEST(AllowanceMarks, TheNewestStatementHolds) {
  AllowanceMarks marks;
  const TeamKey team(1);
  EXPECT_TRUE(marks.Apply(
      {.team = team, .ask_first = true, .at = At(seconds(2))}, At(seconds(2))));
  EXPECT_FALSE(
      marks.Apply({.team = team, .ask_first = false, .at = At(seconds(1))},
                  At(seconds(3))));
  EXPECT_EQ(marks.NewsSince(At(seconds(1))).size(), 1U);
  EXPECT_TRUE(marks.NewsSince(At(seconds(2))).empty());
}

// --- A fleet ---

// Instances whose requests come as given. Claims arrive after a delay; the
// owner, or the path to it, may be lost.
class Fleet {
 public:
  Fleet(size_t instances, double rate, double burst, uint32_t seed)
      : m_team(MakeTeam(rate, burst)), m_random(seed) {
    for (size_t i = 0; i < instances; ++i) {
      m_gates.push_back(std::make_unique<AllowanceGate>(
          &m_bounds, [this] { return Uniform(); }));
      m_gates.back()->SetInstances(static_cast<uint32_t>(instances));
    }
    m_ledger = std::make_unique<AllowanceLedger>(&m_bounds);
  }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  void LoseOwner() { m_ledger = nullptr; }
  // Another instance keeps the ledger now, without the past.
  void ReplaceOwner() {
    m_ledger = std::make_unique<AllowanceLedger>(&m_bounds);
  }

  // A request at one instance.
  void Request(size_t instance, TimePoint now) {
    ++m_requests;
    AllowanceGate& gate = *m_gates[instance];
    switch (gate.Decide(m_team)) {
      case AllowanceDecision::kAdmit:
        Run(now);
        Report(instance, 0, now);
        break;
      case AllowanceDecision::kAsk:
        if (Report(instance, 1, now))
          Run(now);
        break;
    }
  }

  size_t requests() const { return m_requests; }
  size_t admitted() const { return m_admitted.size(); }
  // Most requests that were admitted in a window of the bounds.
  size_t Worst() const {
    size_t worst = 0;
    size_t first = 0;
    for (size_t i = 0; i < m_admitted.size(); ++i) {
      while (m_admitted[i] - m_admitted[first] >= m_bounds.allowance_window)
        ++first;
      worst = std::max(worst, i - first + 1);
    }
    return worst;
  }
  double Bound() const {
    return (m_team.allowance.rate * 5 + m_team.allowance.burst) *
               (1 + m_bounds.allowance_overage) +
           m_bounds.allowance_slack;
  }

 private:
  void Run(TimePoint now) { m_admitted.push_back(now); }

  // True if a request that waits was granted.
  bool Report(size_t instance, uint32_t wanted, TimePoint now) {
    AllowanceGate& gate = *m_gates[instance];
    const auto claim = gate.TakeClaim(m_team, ConfigVersion(1), wanted);
    if (!claim)
      return false;
    if (m_ledger == nullptr) {
      gate.OnClaimLost(*claim);
      return wanted > 0 && gate.AdmitAlone(m_team, now);
    }
    const AllowanceGrant grant = m_ledger->Settle(*claim, now);
    gate.OnGrant(*claim, grant);
    return grant.granted > 0;
  }

  const ServiceBounds m_bounds;
  const Team m_team;
  std::mt19937 m_random;
  std::vector<std::unique_ptr<AllowanceGate>> m_gates;
  std::unique_ptr<AllowanceLedger> m_ledger;
  size_t m_requests = 0;
  std::vector<TimePoint> m_admitted;
};

// Pattern: a team within its allowance, on all of 71 instances. Guards against
// rejections of what is allowed.
TEST(AllowanceFleet, AdmitsWhatIsWithinTheAllowance) {
  Fleet fleet(71, kRate, kBurst, 1);
  for (int ms = 0; ms < 30'000; ++ms) {
    // 0.8 of the rate, at random.
    if (fleet.Uniform() < 0.8 * kRate / 1000)
      fleet.Request(static_cast<size_t>(fleet.Uniform() * 71),
                    At(milliseconds(ms)));
  }
  EXPECT_EQ(fleet.admitted(), fleet.requests());
}

// Pattern: a team on one instance of 71. Guards against equal shares.
TEST(AllowanceFleet, AdmitsItAllAtOneInstance) {
  Fleet fleet(71, kRate, kBurst, 2);
  for (int ms = 0; ms < 20'000; ms += 70)
    fleet.Request(3, At(milliseconds(ms)));
  EXPECT_EQ(fleet.admitted(), fleet.requests());
}

// Pattern: a team at several times its allowance, while the owner of its ledger
// is lost and replaced. Guards against an excess over the stated bound, and
// against a team that gets nothing.
RC_GTEST_PROP(AllowanceFleet, StaysWithinTheBound, ()) {
  const auto instances = *rc::gen::inRange<size_t>(1, 72);
  const auto rate = *rc::gen::element(1.0, 3.0, 7.0, 18.0, 40.0);
  const auto demand = *rc::gen::inRange(1, 8);
  const auto losses = *rc::gen::inRange(0, 4);
  Fleet fleet(instances, rate, rate, *rc::gen::arbitrary<uint32_t>());
  std::vector<int> lost_at;
  for (int i = 0; i < losses; ++i)
    lost_at.push_back(*rc::gen::inRange(0, 30'000));
  for (int ms = 0; ms < 30'000; ++ms) {
    for (const int at : lost_at) {
      if (ms == at)
        fleet.LoseOwner();
      if (ms == at + 250)
        fleet.ReplaceOwner();
    }
    const double expected = demand * rate / 1000;
    if (fleet.Uniform() < expected)
      fleet.Request(
          static_cast<size_t>(fleet.Uniform() * static_cast<double>(instances)),
          At(milliseconds(ms)));
  }
  RC_ASSERT(static_cast<double>(fleet.Worst()) <= fleet.Bound());
  // Over the whole time, at least two thirds of what is allowed or asked for.
  RC_ASSERT(static_cast<double>(fleet.admitted()) >=
            0.66 * std::min(static_cast<double>(fleet.requests()), rate * 30));
}

}  // namespace
}  // namespace wasabihook::gateway
