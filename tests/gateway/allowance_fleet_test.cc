// Allowances of teams over a fleet in virtual time, with the real gates,
// ledgers and selection of owners: instances are killed and return, stand
// still, are cut off, and differ in which instances they know.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gateway/allowance/allowance_gate.h"
#include "gateway/allowance/allowance_ledger.h"
#include "gateway/allowance/allowance_owners.h"

namespace wasabihook::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCalm = seconds(12);
constexpr Duration kRun = seconds(42);
const TeamKey kTeam(7);

// Events in the order of their times.
class Clock {
 public:
  TimePoint now() const { return m_now; }
  void After(Duration delay, std::function<void()> event) {
    m_events.push({m_now + delay, ++m_last, std::move(event)});
  }
  void RunUntil(TimePoint end) {
    while (!m_events.empty() && m_events.top().at <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.step();
    }
    m_now = end;
  }

 private:
  struct Event {
    TimePoint at;
    uint64_t order = 0;
    std::function<void()> step;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  TimePoint m_now{seconds(1000)};
  uint64_t m_last = 0;
  std::priority_queue<Event> m_events;
};

enum class FaultKind : uint8_t { kKill, kFreeze, kCut, kOneWayCut };

struct Fault {
  FaultKind kind = FaultKind::kKill;
  // Instance, or the first of those that are cut off.
  size_t instance = 0;
  size_t instances_cut = 1;
  Duration at{0};
  Duration length{0};
};

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  constexpr const char* kNames[] = {"kill", "freeze", "cut", "one-way cut"};
  return out << kNames[static_cast<size_t>(fault.kind)] << " of "
             << fault.instances_cut << " from " << fault.instance << " at "
             << fault.at.count() << " for " << fault.length.count();
}

// Instances that run the protocol of AllowanceExchange over messages that take
// some milliseconds.
class Fleet {
 public:
  Fleet(size_t size, const Allowance& allowance, uint32_t seed)
      : m_team({.id = TeamId("a"),
                .key = kTeam,
                .priority = std::nullopt,
                .allowance = allowance}),
        m_random(seed),
        m_nodes(size) {
    for (size_t i = 0; i < size; ++i)
      m_listed.push_back(
          {.id = InstanceId("i" + std::to_string(i)), .address = Address(i)});
    for (size_t i = 0; i < size; ++i)
      StartProcess(i);
  }

  Clock& clock() { return m_clock; }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  size_t size() const { return m_nodes.size(); }

  void Inject(const Fault& fault) {
    m_clock.After(fault.at, [this, fault] { Begin(fault); });
  }
  // A new instance, of which each other one learns within `time`.
  void Add(Duration time) {
    const size_t index = m_nodes.size();
    m_nodes.emplace_back();
    m_listed.push_back({.id = InstanceId("i" + std::to_string(index)),
                        .address = Address(index)});
    StartProcess(index);
    m_nodes[index].owners.SetFleet(static_cast<uint32_t>(size()), false);
    m_clock.After(kAllowancePortionHandover, [this, index] {
      m_nodes[index].owners.SetFleet(static_cast<uint32_t>(size()), true);
    });
    for (size_t i = 0; i < index; ++i)
      m_clock.After(Scaled(time), [this, i] { Learn(i); });
  }

  // A request at one instance.
  void Request(size_t index) {
    Node& node = m_nodes[index];
    if (!node.up || node.frozen)
      return;
    ++m_requests;
    if (node.gate->Decide(m_team) == AllowanceDecision::kAdmit) {
      Run();
      FlushSoon(index);
      return;
    }
    const uint64_t id = ++m_last_id;
    node.held.push_back(id);
    node.waiting.push_back(id);
    m_clock.After(kAllowanceHold, At(index, [this, index, id] {
                    if (std::erase(m_nodes[index].held, id) > 0 &&
                        m_nodes[index].gate->AdmitAlone(m_team, m_clock.now()))
                      Run();
                  }));
    Flush(index);
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
    const double window_s =
        std::chrono::duration<double>(m_bounds.allowance_window).count();
    return (m_team.allowance.rate * window_s + m_team.allowance.burst) *
               (1 + m_bounds.allowance_overage) +
           m_bounds.allowance_slack;
  }

 private:
  using Step = std::function<void()>;

  struct Node {
    bool up = true;
    bool frozen = false;
    // Counts the processes of this instance.
    uint64_t process = 0;
    std::deque<Step> delayed;
    AllowanceOwners owners;
    std::unique_ptr<AllowanceLedger> ledger;
    std::unique_ptr<AllowanceGate> gate;
    // Requests that wait, and those of them that no call under way is for.
    std::vector<uint64_t> held;
    std::vector<uint64_t> waiting;
    std::map<size_t, bool> busy;
    bool flush_due = false;
    bool marked = false;
  };

  static std::string Address(size_t index) {
    return "10.0.0.1:" + std::to_string(index);
  }
  static size_t IndexOf(const std::string& address) {
    return std::stoul(address.substr(address.find(':') + 1));
  }

  Duration Scaled(Duration time) {
    return Duration(static_cast<int64_t>(static_cast<double>(time.count()) *
                                         (0.02 + 0.98 * Uniform())));
  }

  void Learn(size_t index) {
    m_nodes[index].owners.SetInstances(m_listed);
    m_nodes[index].owners.SetFleet(static_cast<uint32_t>(m_listed.size()),
                                   true);
    m_nodes[index].gate->SetInstances(static_cast<uint32_t>(m_listed.size()));
  }

  void StartProcess(size_t index) {
    Node& node = m_nodes[index];
    ++node.process;
    node.up = true;
    node.owners = AllowanceOwners();
    node.gate = std::make_unique<AllowanceGate>(&m_bounds,
                                                [this] { return Uniform(); });
    node.ledger = std::make_unique<AllowanceLedger>(
        &m_bounds, [this, index](TeamKey team) -> const AllowancePortions& {
          return m_nodes[index].owners.PortionsOf(team, m_listed[index].id);
        });
    node.held.clear();
    node.waiting.clear();
    node.busy.clear();
    node.flush_due = false;
    node.marked = false;
    Learn(index);
  }

  // A step of the present process of an instance. If the instance stands still,
  // the step is taken when it goes on.
  Step At(size_t index, Step step) {
    return [this, index, process = m_nodes[index].process,
            step = std::move(step)] {
      Node& node = m_nodes[index];
      if (!node.up || node.process != process)
        return;
      if (node.frozen)
        node.delayed.push_back(step);
      else
        step();
    };
  }

  void Begin(const Fault& fault) {
    const size_t index = fault.instance % size();
    switch (fault.kind) {
      case FaultKind::kKill:
        m_nodes[index].up = false;
        m_clock.After(fault.length, [this, index] {
          if (!m_nodes[index].up)
            StartProcess(index);
        });
        break;
      case FaultKind::kFreeze:
        m_nodes[index].frozen = true;
        m_clock.After(fault.length, [this, index] {
          Node& node = m_nodes[index];
          node.frozen = false;
          for (const Step& step : std::exchange(node.delayed, {}))
            step();
        });
        break;
      case FaultKind::kCut:
      case FaultKind::kOneWayCut: {
        const uint64_t id = ++m_last_id;
        m_cuts[id] = fault;
        m_clock.After(fault.length, [this, id] { m_cuts.erase(id); });
        break;
      }
    }
  }

  bool IsCut(size_t from, size_t to) const {
    return std::any_of(m_cuts.begin(), m_cuts.end(), [&](const auto& entry) {
      const Fault& cut = entry.second;
      const auto inside = [&](size_t index) {
        return (index + size() - cut.instance % size()) % size() <
               cut.instances_cut;
      };
      return inside(from) != inside(to) &&
             (cut.kind == FaultKind::kCut || inside(from));
    });
  }

  void Send(size_t from, size_t to, Step step) {
    if (!IsCut(from, to))
      m_clock.After(milliseconds(1) + Scaled(milliseconds(5)),
                    At(to, std::move(step)));
  }

  // Calls another instance. `answer` runs there and returns the step to take
  // with the reply; `lost` runs if none comes in time.
  void Call(size_t from,
            size_t to,
            const std::function<Step()>& answer,
            Step lost) {
    const auto ended = std::make_shared<bool>(false);
    Send(from, to, [this, from, to, answer, ended] {
      Send(to, from, [step = answer(), ended] {
        if (!std::exchange(*ended, true))
          step();
      });
    });
    m_clock.After(kAllowanceCallTimeout,
                  At(from, [ended, lost = std::move(lost)] {
                    if (!std::exchange(*ended, true))
                      lost();
                  }));
  }

  void Run() { m_admitted.push_back(m_clock.now()); }

  void FlushSoon(size_t index) {
    if (!std::exchange(m_nodes[index].flush_due, true))
      m_clock.After(kAllowanceReportDelay, At(index, [this, index] {
                      m_nodes[index].flush_due = false;
                      Flush(index);
                    }));
  }

  void Flush(size_t index) {
    Node& node = m_nodes[index];
    const AllowanceOwner* owner = node.owners.Select(kTeam, m_clock.now());
    const size_t to = owner == nullptr ? index : IndexOf(owner->address);
    if (to != index && node.busy[to])
      return;
    std::vector<uint64_t> asking;
    for (const uint64_t id : std::exchange(node.waiting, {})) {
      if (std::find(node.held.begin(), node.held.end(), id) != node.held.end())
        asking.push_back(id);
    }
    const auto claim = node.gate->TakeClaim(
        m_team, ConfigVersion(1), static_cast<uint32_t>(asking.size()));
    if (!claim)
      return;
    if (to == index) {
      OnGrant(index, *claim, asking, SettleAt(index, *claim));
      return;
    }
    node.busy[to] = true;
    Call(
        index, to,
        [this, index, to, claim = *claim, asking]() -> Step {
          const AllowanceGrant grant = SettleAt(to, claim);
          return [this, index, to, claim, asking, grant] {
            m_nodes[index].busy[to] = false;
            m_nodes[index].owners.OnReached(Address(to));
            OnGrant(index, claim, asking, grant);
            FlushRest(index);
          };
        },
        [this, index, to, claim = *claim, asking] {
          Node& node = m_nodes[index];
          node.busy[to] = false;
          node.owners.OnUnreachable(Address(to), m_clock.now());
          node.gate->OnClaimLost(claim);
          node.waiting.insert(node.waiting.begin(), asking.begin(),
                              asking.end());
          Flush(index);
        });
  }

  void FlushRest(size_t index) {
    if (!m_nodes[index].waiting.empty())
      Flush(index);
  }

  AllowanceGrant SettleAt(size_t index, const AllowanceClaim& claim) {
    Node& node = m_nodes[index];
    AllowanceGrant out = node.ledger->Settle(claim, m_clock.now());
    for (const auto& [holder, transfer] :
         node.ledger->TakeDueTransfers(kTeam, m_clock.now()))
      Transfer(index, holder, transfer);
    out.more_expected =
        out.granted < claim.wanted && node.ledger->AwaitsTransfers(kTeam);
    if (node.marked != out.ask_first) {
      node.marked = out.ask_first;
      // Marks pass from instance to instance.
      for (size_t to = 0; to < size(); ++to) {
        if (to != index)
          m_clock.After(Scaled(milliseconds(300)),
                        [this, index, to, ask_first = out.ask_first] {
                          Send(index, to, [this, to, ask_first] {
                            m_nodes[to].gate->SetAskFirst(kTeam, ask_first);
                          });
                        });
      }
    }
    return out;
  }

  void Transfer(size_t index,
                const InstanceId& holder,
                const AllowanceTransfer& transfer) {
    const std::string* address = m_nodes[index].owners.AddressOf(holder);
    const size_t to = IndexOf(*address);
    Call(
        index, to,
        [this, index, to, holder, transfer]() -> Step {
          const AllowanceTransferReply reply =
              m_nodes[to].ledger->Give(transfer, m_clock.now());
          return [this, index, holder, reply] {
            m_nodes[index].ledger->OnTransfer(holder, reply, m_clock.now());
          };
        },
        [this, index, holder] {
          m_nodes[index].ledger->OnTransferLost(holder, kTeam, m_clock.now());
        });
  }

  void OnGrant(size_t index,
               const AllowanceClaim& claim,
               const std::vector<uint64_t>& asking,
               const AllowanceGrant& grant) {
    Node& node = m_nodes[index];
    node.gate->OnGrant(claim, grant);
    uint32_t granted = grant.granted;
    for (const uint64_t id : asking) {
      const bool admitted = granted > 0;
      if (admitted)
        --granted;
      const bool held =
          std::find(node.held.begin(), node.held.end(), id) != node.held.end();
      if (!held) {
        if (admitted)
          node.gate->Return(m_team);
      } else if (admitted || !grant.more_expected) {
        std::erase(node.held, id);
        if (admitted)
          Run();
      } else {
        node.waiting.push_back(id);
        FlushSoon(index);
      }
    }
  }

  const ServiceBounds m_bounds;
  const Team m_team;
  std::mt19937 m_random;
  Clock m_clock;
  std::deque<Node> m_nodes;
  std::vector<AllowanceOwner> m_listed;
  std::map<uint64_t, Fault> m_cuts;
  uint64_t m_last_id = 0;
  size_t m_requests = 0;
  std::vector<TimePoint> m_admitted;
};

// Sends requests at random instances, `per_second` in the mean.
void Drive(Fleet& fleet, double per_second, Duration time, bool one = false) {
  const TimePoint end = fleet.clock().now() + time;
  while (fleet.clock().now() < end) {
    fleet.clock().RunUntil(fleet.clock().now() + milliseconds(1));
    for (double left = per_second / 1000; fleet.Uniform() < left; --left)
      fleet.Request(
          one ? 0
              : static_cast<size_t>(fleet.Uniform() *
                                    static_cast<double>(fleet.size())));
  }
}

rc::Gen<Fault> AnyFault(size_t instances) {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind,
                   rc::gen::element(FaultKind::kKill, FaultKind::kFreeze,
                                    FaultKind::kCut, FaultKind::kOneWayCut)),
      rc::gen::set(&Fault::instance, rc::gen::inRange<size_t>(0, instances)),
      rc::gen::set(&Fault::instances_cut,
                   rc::gen::inRange<size_t>(1, instances / 2 + 2)),
      rc::gen::set(&Fault::at, rc::gen::map(rc::gen::inRange(0, 30'000),
                                            [](int ms) {
                                              return Duration(milliseconds(ms));
                                            })),
      rc::gen::set(&Fault::length,
                   rc::gen::map(rc::gen::inRange(300, 10'000), [](int ms) {
                     return Duration(milliseconds(ms));
                   })));
}

// Pattern: a team at several times its allowance, while instances are killed
// and return, stand still and are cut off, for 0.3 to 10 s each, one after the
// other and at the same time, and others join. Guards against several ledgers
// that give out the whole rate at the same time (review case 7).
RC_GTEST_PROP(AllowanceFaults, ManyLedgersGiveOutOneAllowance, ()) {
  const auto instances = *rc::gen::inRange<size_t>(1, 16);
  const auto rate = *rc::gen::element(7.0, 18.0, 50.0, 120.0);
  const auto burst = *rc::gen::element(0.0, 1.0, 2.0);
  const auto demand = *rc::gen::inRange(1, 8);
  const auto faults = *rc::gen::container<std::vector<Fault>>(
      *rc::gen::inRange<size_t>(0, 8), AnyFault(instances));
  const auto joins = *rc::gen::inRange(0, 2);
  Fleet fleet(instances, {.rate = rate, .burst = burst * rate},
              *rc::gen::arbitrary<uint32_t>());
  Drive(fleet, demand * rate, kCalm);
  for (const Fault& fault : faults)
    fleet.Inject(fault);
  for (int i = 0; i < joins; ++i)
    fleet.Add(kAllowancePortionHandover);
  Drive(fleet, demand * rate, kRun);
  RC_ASSERT(static_cast<double>(fleet.Worst()) <= fleet.Bound());
}

// Guards against portions that nobody fetches: a team that sends more than its
// allowance gets nearly all of it.
TEST(AllowanceFaults, AllPortionsAreUsedInCalm) {
  for (const size_t instances : {1, 2, 3, 8, 20}) {
    Fleet fleet(instances, {.rate = 50, .burst = 50}, 3);
    Drive(fleet, 200, seconds(40));
    EXPECT_GE(static_cast<double>(fleet.admitted()), 0.93 * 50 * 40)
        << instances;
    EXPECT_LE(static_cast<double>(fleet.Worst()), fleet.Bound());
  }
}

// Guards against rejections of what is allowed, in calm.
TEST(AllowanceFaults, AdmitsWhatIsWithinTheAllowanceInCalm) {
  for (const bool one : {false, true}) {
    for (const double rate : {2.0, 18.0, 120.0}) {
      Fleet fleet(20, {.rate = rate, .burst = rate}, 5);
      Drive(fleet, 0.62 * rate, seconds(60), one);
      EXPECT_GE(static_cast<double>(fleet.admitted()),
                0.98 * static_cast<double>(fleet.requests()))
          << rate << (one ? " at one instance" : "");
    }
  }
}

// Guards against a lost holder of a portion that takes more than its part.
TEST(AllowanceFaults, ALossTakesOnePortion) {
  Fleet fleet(20, {.rate = 50, .burst = 50}, 7);
  Drive(fleet, 200, kCalm);
  for (size_t i = 0; i < 3; ++i)
    fleet.Inject({.kind = FaultKind::kKill,
                  .instance = i,
                  .instances_cut = 1,
                  .at = Duration(0),
                  .length = seconds(60)});
  const size_t before = fleet.admitted();
  Drive(fleet, 200, seconds(20));
  // Three of 20 may hold three of the eight portions.
  EXPECT_GE(static_cast<double>(fleet.admitted() - before),
            0.9 * 50 * 20 * 5 / 8);
}

}  // namespace
}  // namespace wasabihook::gateway
