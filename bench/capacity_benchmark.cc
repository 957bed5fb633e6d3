// Measures the costs of the modules per peer, server, team, setting, query and
// sub-query. scripts/capacity.sh computes docs/CAPACITY.md from the output.
// Counters: bytes_wire is the size of one encoded message, bytes_memory the
// heap in use per item.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <deque>
#include <memory>
#include <string>

#include "decision/burn/burn_cell.h"
#include "decision/burn/burn_codec.h"
#include "decision/burn/burn_counters.h"
#include "decision/operations/claim_store.h"
#include "decision/routing/admission_controller.h"
#include "decision/routing/hedge_policy.h"
#include "decision/routing/rendezvous.h"
#include "decision/routing/retry_budget.h"
#include "decision/settings/settings_registry.h"
#include "peers/backend/wire.h"
#include "peers/instance/peer_codec.h"
#include "testing/fake_claim_store.h"
#include "testing/fake_quarantine.h"
#include "testing/fake_settings.h"
#include "testing/manual_timer_service.h"
#include "wasabihook/query_tier.h"
#include "wasabihook/server_table.h"

namespace wasabihook {
namespace {

using testing::ManualTimerService;

const TeamId kTeam{"clerks"};
const IndexSetId kIndexSet{"counter-desk"};
constexpr uint64_t kRecords = 1000;
// A typical row (a phone order), about 100 bytes.
const std::string kRow =
    R"({"id":"order-0000001","frame":"acetate-52-black","lens":"1.67-blue",)"
    R"("stock":17,"shelf":"A-17-3"})";

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

ServerId ServerName(size_t index) {
  return ServerId("10." + std::to_string(index / 65536) + "." +
                  std::to_string(index / 256 % 256) + "." +
                  std::to_string(index % 256) + ":8080");
}

std::shared_ptr<IndexSetSnapshot> MakeSnapshot(size_t groups, size_t servers) {
  auto snapshot = std::make_shared<IndexSetSnapshot>();
  snapshot->team = kTeam;
  snapshot->index_set = kIndexSet;
  snapshot->id = {IndexVersion(1), MapVersion(1)};
  snapshot->settings_revision = Revision(1);
  snapshot->server_limits = {64, 1024};
  for (size_t g = 0; g < groups; ++g) {
    ShardGroup group;
    group.id = ShardGroupId("g" + std::to_string(g));
    group.records = kRecords;
    for (size_t s = 0; s < servers; ++s) {
      group.servers.push_back(
          {ServerName(g * servers + s), DataCentreId("addis-bole")});
    }
    snapshot->groups.push_back(std::move(group));
  }
  return snapshot;
}

SubReply ReplyTo(const SubRequest& request) {
  SubReply reply;
  reply.id = request.id;
  reply.outcome = SubOutcome::kOk;
  reply.snapshot = request.snapshot;
  reply.records_searched = kRecords;
  reply.rows = {kRow};
  return reply;
}

// Holds sub-requests until AnswerAll(), which answers them successfully.
class ManualBackendTransport : public BackendTransport {
 public:
  void Send(SubRequest request, SubReplyCallback done) override {
    m_sent.emplace_back(std::move(request), std::move(done));
  }
  void Cancel(const SubRequestId&) override {}
  void SetConnectionLimit(const ServerId&, uint32_t) override {}

  void AnswerAll() {
    while (!m_sent.empty()) {
      auto [request, done] = std::move(m_sent.front());
      m_sent.pop_front();
      done(ReplyTo(request));
    }
  }

 private:
  std::deque<std::pair<SubRequest, SubReplyCallback>> m_sent;
};

// One search over N shard groups through the complete decision logic.
void BmSearch(benchmark::State& state) {
  ManualTimerService timers;
  testing::FakeSettings settings;
  TeamSettings team;
  team.team = kTeam;
  team.index_sets[kIndexSet] =
      MakeSnapshot(static_cast<size_t>(state.range(0)), 2);
  settings.Put(team);
  ManualBackendTransport transport;
  const auto servers = ServerTable::Create(&timers, MakeRandomSource(1));
  const auto hedging = HedgePolicy::Create();
  const auto budget = RetryBudget::Create();
  const auto admission = AdmissionController::Create(&timers);
  testing::FakeClaimStore claims(&timers);
  testing::FakeQuarantine quarantine;
  const auto tier = QueryTier::Create({.timers = &timers,
                                       .transport = &transport,
                                       .settings = &settings,
                                       .servers = servers.get(),
                                       .hedging = hedging.get(),
                                       .retry_budget = budget.get(),
                                       .admission = admission.get(),
                                       .claims = &claims,
                                       .quarantine = &quarantine,
                                       .random = MakeRandomSource(2),
                                       .id_prefix = "i1-7f3a",
                                       .on_outcome = {}});
  uint64_t answered = 0;
  for (auto _ : state) {
    CallerRequest request;
    request.id = RequestId("r");
    request.team = kTeam;
    request.index_set = kIndexSet;
    request.payload = "acetate frame 52 black";
    tier->Submit(std::move(request), [&](const Reply& reply) {
      const auto* answer = std::get_if<Answer>(&reply);
      answered += answer && answer->coverage.complete() ? 1 : 0;
    });
    timers.Advance(Duration(1000));
    transport.AnswerAll();
    timers.RunDue();
  }
  if (answered != static_cast<uint64_t>(state.iterations())) {
    state.SkipWithError("not every search was answered in full");
  }
}
BENCHMARK(BmSearch)->Arg(10)->Arg(100)->Arg(470);

// Acquisition and release of one server in a table of N servers.
void BmServerTable(benchmark::State& state) {
  const auto count = static_cast<size_t>(state.range(0));
  const auto snapshot = MakeSnapshot(count / 2, 2);
  ManualTimerService timers;
  const double before = HeapBytes();
  const auto table = ServerTable::Create(&timers, MakeRandomSource(1));
  SubReply reply;
  reply.outcome = SubOutcome::kOk;
  const auto use = [&](const ShardGroup& group,
                       const std::vector<ServerId>& excluded) {
    if (const auto server =
            table->Acquire(group, snapshot->server_limits, {}, excluded)) {
      table->Release(*server, reply, Duration(5000));
    }
  };
  for (const ShardGroup& group : snapshot->groups) {
    use(group, {group.servers[0].id});
    use(group, {group.servers[1].id});
  }
  state.counters["bytes_memory"] =
      (HeapBytes() - before) / static_cast<double>(count);
  size_t next = 0;
  for (auto _ : state) {
    use(snapshot->groups[next++ % snapshot->groups.size()], {});
  }
}
BENCHMARK(BmServerTable)->Arg(1000)->Arg(20000);

SubRequest MakeSubRequest() {
  SubRequest request;
  request.id = SubRequestId("i1-7f3a-000123-42-1");
  request.server = ServerName(1);
  request.team = kTeam;
  request.index_set = kIndexSet;
  request.group = ShardGroupId("g42");
  request.snapshot = {IndexVersion(7), MapVersion(2)};
  request.remaining = std::chrono::milliseconds(80);
  request.payload = "acetate frame 52 black";
  return request;
}

std::vector<std::string> HeaderLines(const SubRequest& request) {
  return {"X-Request-Id: " + request.id.value(),
          "X-Deadline-Ms: " + std::to_string(DeadlineMs(request.remaining)),
          "X-Index-Version: 7", "X-Map-Version: 2", "X-Shard-Group: g42"};
}

// The wire size excludes header lines that libcurl and the server add.
void BmBackendEncode(benchmark::State& state) {
  const SubRequest request = MakeSubRequest();
  size_t bytes = 0;
  for (auto _ : state) {
    const std::string body = EncodeBody(request);
    bytes = body.size();
    for (const std::string& line : HeaderLines(request)) {
      bytes += line.size() + 2;
    }
    benchmark::DoNotOptimize(bytes);
  }
  state.counters["bytes_wire"] = static_cast<double>(bytes);
}
BENCHMARK(BmBackendEncode);

void BmBackendDecode(benchmark::State& state) {
  const SubRequest request = MakeSubRequest();
  const std::string body =
      R"({"request_id":"i1-7f3a-000123-42-1","index_version":7,)"
      R"("map_version":2,"group":"g42","records_searched":1000,)"
      R"("row_count":1,"rows":[)" +
      kRow + R"(],"load":{"running":1,"queued":0,"draining":false}})";
  std::vector<std::string> lines = HeaderLines(request);
  lines.insert(lines.begin(), "HTTP/1.1 200 OK");
  lines.push_back("Content-Length: " + std::to_string(body.size()));
  size_t bytes = body.size();
  for (const std::string& line : lines) {
    bytes += line.size() + 2;
  }
  for (auto _ : state) {
    ReplyHead head;
    for (const std::string& line : lines) {
      head.AddLine(line);
    }
    const DecodedReply decoded = DecodeReply(request, head, body);
    if (decoded.reply.outcome != SubOutcome::kOk) {
      state.SkipWithError("the reply was not accepted");
      break;
    }
  }
  state.counters["bytes_wire"] = static_cast<double>(bytes);
}
BENCHMARK(BmBackendDecode);

// TOML settings of a team with `servers` servers in shard groups of two.
std::string TeamText(size_t servers) {
  std::string text =
      "[team]\nname = \"clerks\"\n[index_sets.counter-desk]\n"
      "index_version = 7\nmap_version = 2\n";
  for (size_t s = 0; s + 1 < servers; s += 2) {
    text += "[[index_sets.counter-desk.groups]]\nid = \"g" +
            std::to_string(s / 2) + "\"\nrecords = 1000\nservers = [\"" +
            ServerName(s).value() + "@addis-bole\", \"" +
            ServerName(s + 1).value() + "@bahirdar-kebele\"]\n";
  }
  return text;
}

// One change to a team's subtree that lists N servers.
void BmSettingsOffer(benchmark::State& state) {
  const std::string text = TeamText(static_cast<size_t>(state.range(0)));
  ManualTimerService timers;
  const double before = HeapBytes();
  SettingsRegistry registry(&timers);
  uint64_t revision = 0;
  const auto offer = [&] {
    return registry.Offer("teams/clerks", Revision(++revision), text,
                          SettingsSource::kPeer);
  };
  if (offer() != OfferOutcome::kApplied) {
    state.SkipWithError("the settings were not applied");
  }
  state.counters["bytes_memory"] = HeapBytes() - before;
  state.counters["bytes_wire"] = static_cast<double>(text.size());
  for (auto _ : state) {
    offer();
  }
}
BENCHMARK(BmSettingsOffer)->Arg(100)->Arg(1000);

PeerIdentity Self() {
  return {InstanceId("instance-0001"), Incarnation(0x7f3a12345678),
          "10.1.2.3:7400", DataCentreId("addis-bole")};
}

// Encodes one message to its wire text and decodes it.
template <typename Message, typename Decode>
size_t RoundTrip(const Message& message, const Decode& decode) {
  const std::string text =
      Json::writeString(Json::StreamWriterBuilder(), Encode(message));
  Json::Value parsed;
  std::string error;
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  reader->parse(text.data(), text.data() + text.size(), &parsed, &error);
  benchmark::DoNotOptimize(decode(parsed));
  return text.size();
}

void BmDigestRequest(benchmark::State& state) {
  const PeerRequest request =
      DigestRequest{Self(), 1, Revision(2), false, {}, {}};
  size_t bytes = 0;
  for (auto _ : state) {
    bytes = RoundTrip(request, [](const Json::Value& json) {
      return DecodeRequest(kDigestMethod, json);
    });
  }
  state.counters["bytes_wire"] = static_cast<double>(bytes);
}
BENCHMARK(BmDigestRequest);

// Response that lists N subtrees because the settings differ; N = 0 if they are
// equal.
void BmDigestResponse(benchmark::State& state) {
  DigestResponse response{Self(), {}};
  for (int64_t i = 0; i < state.range(0); ++i) {
    response.revisions.push_back(
        {"teams/team-" + std::to_string(i), Revision(100000)});
  }
  const PeerResponse message = response;
  size_t bytes = 0;
  for (auto _ : state) {
    bytes = RoundTrip(message, [](const Json::Value& json) {
      return DecodeResponse(kDigestMethod, json);
    });
  }
  state.counters["bytes_wire"] = static_cast<double>(bytes);
}
BENCHMARK(BmDigestResponse)->Arg(0)->Arg(100);

RequestOutcome DrawOutcome(const RandomSource& random) {
  RequestOutcome outcome;
  outcome.team = kTeam;
  outcome.latency = Duration(4000 + static_cast<int64_t>(random() % 60000));
  outcome.complete = true;
  if (random() % 20 == 0) {
    outcome.latency = Duration(90000);
    outcome.slowest_server = ServerName(random() % 40);
  }
  return outcome;
}

void BmBurnRecord(benchmark::State& state) {
  ManualTimerService timers;
  testing::FakeSettings settings;
  TeamSettings team;
  team.team = kTeam;
  settings.Put(team);
  BurnCounters counters(&timers, &settings);
  const RequestOutcome outcome = DrawOutcome(MakeRandomSource(1));
  for (auto _ : state) {
    counters.Record(outcome);
  }
}
BENCHMARK(BmBurnRecord);

// One minute of counts for `teams` teams at one instance.
BurnBucket MakeBucket(int64_t teams, uint64_t sequence, int64_t minute) {
  const RandomSource random = MakeRandomSource(sequence);
  BurnBucket bucket{sequence, minute, {}};
  for (int64_t t = 0; t < teams; ++t) {
    TeamBurn burn{TeamId("team-" + std::to_string(t)), {}, {}};
    for (int i = 0; i < 250; ++i) {
      AddOutcome(DrawOutcome(random), config::kLatencyObjective, burn.cell);
    }
    bucket.teams.push_back(std::move(burn));
  }
  return bucket;
}

// Response of one peer with one minute of counts for N teams, in the peer
// encoding.
void BmBurnResponse(benchmark::State& state) {
  const double before = HeapBytes();
  const PeerResponse response =
      BurnCountsResponse{Self(), {MakeBucket(state.range(0), 1, 100)}};
  state.counters["bytes_memory"] = HeapBytes() - before;
  size_t bytes = 0;
  for (auto _ : state) {
    bytes = RoundTrip(response, [](const Json::Value& json) {
      return DecodeResponse(kBurnCountsMethod, json);
    });
  }
  state.counters["bytes_wire"] = static_cast<double>(bytes);
}
BENCHMARK(BmBurnResponse)->Arg(1)->Arg(10);

void BmBurnFold(benchmark::State& state) {
  BurnLedger ledger;
  const BurnSource source{InstanceId("i"), Incarnation(1)};
  BurnBucket bucket = MakeBucket(10, 1, 100);
  for (auto _ : state) {
    ledger.Fold(source, bucket, 100);
    ++bucket.sequence;
  }
}
BENCHMARK(BmBurnFold);

// Stored ledger after three days of counts for `teams` teams, with watermarks
// of `instances` instances.
BurnLedger MakeLedger(int64_t teams, int64_t instances) {
  constexpr int64_t kStart = 28'000'000;
  constexpr int64_t kMinutes = int64_t{3} * 24 * 60;
  BurnLedger ledger;
  for (int64_t minute = 0; minute < kMinutes; ++minute) {
    const auto sequence = static_cast<uint64_t>(minute + 1);
    ledger.Fold({InstanceId("instance-0000"), Incarnation(1ULL << 62)},
                MakeBucket(teams, sequence, kStart + minute), kStart + minute);
    if (minute % 60 == 59) {
      ledger.Compact(kStart + minute);
    }
  }
  ledger.Compact(kStart + kMinutes);
  for (int64_t i = 1; i < instances; ++i) {
    ledger.watermarks[{InstanceId("instance-" + std::to_string(1000 + i)),
                       Incarnation((1ULL << 62) + i)}] = {4000,
                                                          kStart + kMinutes};
  }
  return ledger;
}

void BmBurnLedgerEncode(benchmark::State& state) {
  const BurnLedger ledger = MakeLedger(state.range(0), state.range(1));
  size_t bytes = 0;
  for (auto _ : state) {
    bytes = EncodeBurnLedger(ledger).size();
  }
  state.counters["bytes_wire"] = static_cast<double>(bytes);
}
BENCHMARK(BmBurnLedgerEncode)
    ->Args({1, 1})
    ->Args({3, 1})
    ->Args({1, 451})
    ->Unit(benchmark::kNanosecond);

// Holds writes until AnswerAll(), which accepts them.
class ManualKeyValueStore : public KeyValueStore {
 public:
  void Get(std::string, std::function<void(GetResult)> done) override {
    done({StoreStatus::kNotFound, {}});
  }
  void List(std::string,
            std::optional<Revision>,
            Duration,
            std::function<void(ListResult)>) override {}
  void Delete(std::string,
              Revision,
              std::function<void(WriteResult)>) override {}
  void CompareAndSwap(std::string key,
                      Revision,
                      std::string value,
                      std::function<void(WriteResult)> done) override {
    m_bytes += key.size() + value.size();
    ++m_writes;
    m_calls.push_back(std::move(done));
  }
  void AnswerAll() {
    while (!m_calls.empty()) {
      const auto done = std::move(m_calls.front());
      m_calls.pop_front();
      done({StoreStatus::kOk, Revision(++m_revision), {}});
    }
  }

  uint64_t m_bytes = 0;
  uint64_t m_writes = 0;
  uint64_t m_revision = 0;
  std::deque<std::function<void(WriteResult)>> m_calls;
};

// Writes the claim and the outcome of one operation. The later removal is not
// included.
void BmClaim(benchmark::State& state) {
  ManualTimerService timers;
  ManualKeyValueStore store;
  KeyValueClaimStore claims({&timers,
                             &store,
                             MakeRandomSource(3),
                             InstanceId("instance-0001"),
                             Incarnation(0x7f3a12345678),
                             {}});
  uint64_t granted = 0;
  for (auto _ : state) {
    const ClaimKey key{
        kTeam, IdempotencyKey("order-" + std::to_string(state.iterations()))};
    claims.Claim(
        key, Fingerprint(1), timers.Now() + std::chrono::seconds(1),
        [&](const ClaimResult& result) {
          if (result.status == ClaimStatus::kGranted) {
            ++granted;
            claims.Record(key, result.nonce, {RunState::kRan, {kRow}, {}});
          }
        });
    store.AnswerAll();
    timers.RunDue();
    store.AnswerAll();
  }
  if (granted != static_cast<uint64_t>(state.iterations())) {
    state.SkipWithError("not every claim was granted");
  }
  const auto operations = static_cast<double>(state.iterations());
  state.counters["bytes_wire"] =
      static_cast<double>(store.m_bytes) / operations;
  state.counters["writes"] = static_cast<double>(store.m_writes) / operations;
}
BENCHMARK(BmClaim);

// Rendezvous hashing: selects the owner of one key among N instances.
void BmRendezvous(benchmark::State& state) {
  std::vector<std::string> names;
  for (int64_t i = 0; i < state.range(0); ++i) {
    names.push_back("instance-" + std::to_string(i));
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(RendezvousTopK("10.0.0.1:8080", names, 1));
  }
}
BENCHMARK(BmRendezvous)->Arg(450);

}  // namespace
}  // namespace wasabihook

BENCHMARK_MAIN();
