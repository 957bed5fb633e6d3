// Embeds the decision logic of the tier in another program, with a custom
// transport and a manual clock, without sockets or threads. Prints one answer
// and its coverage.

#include <iostream>
#include <memory>
#include <utility>
#include <variant>

#include "decision/operations/claim_store.h"
#include "decision/operations/quarantine.h"
#include "decision/routing/admission_controller.h"
#include "decision/routing/hedge_policy.h"
#include "decision/routing/retry_budget.h"
#include "testing/fake_platform.h"
#include "testing/fake_settings.h"
#include "testing/manual_timer_service.h"
#include "wasabihook/query_tier.h"
#include "wasabihook/server_table.h"

namespace {

using namespace std::chrono_literals;
using namespace wasabihook;  // NOLINT(google-build-using-namespace)

constexpr uint64_t kRecordsPerGroup = 100;
constexpr uint32_t kGroups = 3;

// Every server replies with one row after 3 ms; connections to the servers of
// `failed_group` fail.
class ExampleTransport : public BackendTransport {
 public:
  ExampleTransport(TimerService* timers, ShardGroupId failed_group)
      : m_timers(timers), m_failed_group(std::move(failed_group)) {}

  void Send(SubRequest request, SubReplyCallback done) override {
    m_timers->SubscribeOnce(3ms, [this, request, done] {
      SubReply reply;
      reply.id = request.id;
      reply.snapshot = request.snapshot;
      if (request.group == m_failed_group) {
        reply.outcome = SubOutcome::kConnectFailed;
      } else {
        reply.outcome = SubOutcome::kOk;
        reply.records_searched = kRecordsPerGroup;
        reply.rows = {"{\"group\":\"" + request.group.value() + "\"}"};
      }
      done(reply);
    });
  }
  void Cancel(const SubRequestId& /*id*/) override {}
  void SetConnectionLimit(const ServerId& /*server*/,
                          uint32_t /*limit*/) override {}

 private:
  TimerService* m_timers;
  ShardGroupId m_failed_group;
};

// One team with one index set of three shard groups with two servers each.
TeamSettings MakeSettings() {
  auto snapshot = std::make_shared<IndexSetSnapshot>();
  snapshot->team = TeamId("sales-desk");
  snapshot->index_set = IndexSetId("sales-lookup");
  snapshot->id = {IndexVersion(7), MapVersion(1)};
  for (uint32_t i = 0; i < kGroups; ++i) {
    const std::string n = std::to_string(i);
    snapshot->groups.push_back(
        {ShardGroupId("g" + n),
         kRecordsPerGroup,
         {{ServerId("10.0.0." + n + ":80"), DataCentreId("bay-a")},
          {ServerId("10.0.1." + n + ":80"), DataCentreId("bay-b")}}});
  }
  TeamSettings settings;
  settings.team = snapshot->team;
  settings.revision = Revision(1);
  settings.least_coverage = Fraction{0.5};
  settings.index_sets[snapshot->index_set] = snapshot;
  return settings;
}

void Print(const Reply& reply) {
  if (const auto* error = std::get_if<ErrorAnswer>(&reply)) {
    std::cout << ToString(error->code) << " (" << ToString(error->run_state)
              << ")\n";
    return;
  }
  const auto& answer = std::get<Answer>(reply);
  std::cout << "records searched: " << answer.coverage.records_covered << " of "
            << answer.coverage.records_asked << ", missing groups:";
  for (const ShardGroupId& group : answer.coverage.missing_groups)
    std::cout << " " << group.value();
  std::cout << "\nrows:";
  for (const std::string& row : answer.rows)
    std::cout << " " << row;
  std::cout << "\n";
}

}  // namespace

int main() {
  testing::ManualTimerService timers;
  const RandomSource random = MakeRandomSource(1);
  testing::FakePlatform platform(&timers, random);
  testing::FakeSettings settings;
  settings.Put(MakeSettings());
  ExampleTransport transport(&timers, ShardGroupId("g1"));
  const auto servers = ServerTable::Create(&timers, random);
  const auto hedging = HedgePolicy::Create();
  const auto retries = RetryBudget::Create();
  const auto admission = AdmissionController::Create(&timers);
  CrashQuarantine quarantine(&timers);
  KeyValueClaimStore claims({.timers = &timers,
                             .store = &platform,
                             .random = random,
                             .instance = InstanceId("example"),
                             .incarnation = Incarnation(1),
                             .on_event = [](ClaimEvent, const ClaimKey&) {}});
  const auto tier =
      QueryTier::Create({.timers = &timers,
                         .transport = &transport,
                         .settings = &settings,
                         .servers = servers.get(),
                         .hedging = hedging.get(),
                         .retry_budget = retries.get(),
                         .admission = admission.get(),
                         .claims = &claims,
                         .quarantine = &quarantine,
                         .random = random,
                         .id_prefix = "example.",
                         .on_outcome = [](const RequestOutcome&) {}});

  CallerRequest request;
  request.id = RequestId("r-1");
  request.team = TeamId("sales-desk");
  request.index_set = IndexSetId("sales-lookup");
  request.payload = "blue frame";
  bool answered = false;
  tier->Submit(request, [&answered](const Reply& reply) {
    Print(reply);
    answered = true;
  });
  for (int step = 0; step < 2000 && !answered; ++step)
    timers.Advance(1ms);
  return answered ? 0 : 1;
}
