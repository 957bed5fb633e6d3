#include "wasabihook-soak/soak.h"

#include <signal.h>

#include <algorithm>
#include <set>
#include <utility>

#include "gateway/top_records.h"
#include "platform/testing/documents.h"

namespace wasabihook::soak {
namespace {

using gateway::testing::Coverage;
using gateway::testing::FakeBackendServer;
using gateway::testing::FakeCaller;
using gateway::testing::RequestHead;
using gateway::testing::RouteDocument;
using gateway::testing::RunUntil;
using gateway::testing::ServerFault;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMinShards = 5;
constexpr size_t kTopRecords = 4;
constexpr Duration kDeadline = milliseconds(900);
constexpr uint32_t kMaxConnections = 40;
constexpr size_t kParcelServers = 4;
constexpr const char* kCrashTarget = "/parcel/crash";
constexpr const char* kSometimesCrashTarget = "/parcel/sometimes";
constexpr size_t kSometimesOneIn = 3;
constexpr Duration kCrashPeriod = milliseconds(400);
constexpr Duration kServerRestart = milliseconds(900);
// Time to learn of a request that crashes servers after its third crash, and
// repetitions that may reach servers later.
constexpr Duration kLearningTime = seconds(4);
constexpr size_t kMaxLateRepetitions = 3;
// How often a server names a limit, says that it leaves, or asks for a pause.
constexpr Duration kLimitPeriod = milliseconds(2300);
constexpr Duration kLeavingPeriod = milliseconds(4700);
constexpr Duration kPausePeriod = milliseconds(3700);
// Copies of the store that are kept and how often it comes back from one. A
// change must be in force in processes that were in touch within the apply
// time.
constexpr Duration kStoreCopyPeriod = milliseconds(400);
constexpr size_t kStoreCopies = 24;
constexpr Duration kRestorePeriod = milliseconds(5300);
constexpr Duration kMaxRestoreOutage = milliseconds(1500);
constexpr Duration kMaxRepeatDelay = milliseconds(500);
constexpr Duration kVersionRequestPeriod = milliseconds(150);
constexpr Duration kConfigApplyTime = seconds(3);
constexpr const char* kDataCentres[] = {"a", "b", "c"};
constexpr size_t kDataCentreCount = std::size(kDataCentres);
// Requests sent in each period of a burst, and its length.
constexpr size_t kBurst = 6;
constexpr Duration kBurstLength = seconds(1);
// One in this many requests opens a new connection.
constexpr size_t kNewConnectionOneIn = 4;
// A process that ran without disturbance must answer a request within this time
// after its deadline.
constexpr Duration kAnswerGracePeriod = milliseconds(700);
constexpr Duration kRequestPeriod = milliseconds(10);
constexpr Duration kFaultPeriod = milliseconds(250);
constexpr Duration kCheckPeriod = milliseconds(20);
// Time for the gateways to recover after all faults have ended.
constexpr Duration kRecoveryTime = seconds(6);
// Limit of requests in flight. Bounds the callers that wait for a stopped
// process.
constexpr size_t kMaxPending = 300;

std::string Record(size_t shard) {
  return std::string(gateway::kRecordBytes, static_cast<char>('a' + shard));
}

}  // namespace

Soak::Soak(SoakOptions options)
    : m_options(std::move(options)),
      m_random(m_options.seed),
      m_restore_random(m_options.seed),
      m_statement_random(m_options.seed),
      m_store(&m_loop),
      m_crashing_requests{{.target = kCrashTarget},
                          {.target = kSometimesCrashTarget,
                           .crashes_one_in = kSometimesOneIn}} {
  for (size_t i = 0; i < kDataCentreCount; ++i)
    m_store_links.push_back(
        std::make_unique<FaultProxy>(&m_loop, m_store.address()));
  AddServers();
  PutConfig();
  for (uint32_t i = 0; i < m_options.gateways; ++i) {
    Instance instance;
    instance.data_centre = i % kDataCentreCount;
    instance.process = std::make_unique<GatewayProcess>(
        m_options.program, m_options.folder, "gateway-" + std::to_string(i),
        kDataCentres[instance.data_centre],
        m_store_links[instance.data_centre]->address());
    instance.process->Start();
    instance.last_disturbance = m_loop.Now();
    m_gateways.push_back(std::move(instance));
  }
}

Soak::~Soak() {
  for (Pending& pending : m_pending)
    pending.caller->Close();
}

size_t Soak::RandomIndex(size_t count) {
  return static_cast<size_t>(m_random() % count);
}

// Each server is registered under the address of its own fault proxy. The
// replicas of a shard are in different data centres.
void Soak::AddServers() {
  const auto add = [this](const std::string& id, const std::string& service,
                          const std::string& body) {
    m_servers.push_back(std::make_unique<FakeBackendServer>(&m_loop, id, body));
    for (CrashingRequest& request : m_crashing_requests)
      m_servers.back()->SetCrashTarget(request.target, [this, &request] {
        if (RandomIndex(request.crashes_one_in) != 0)
          return false;
        request.crashes.push_back(m_loop.Now());
        return true;
      });
    m_services.push_back(service);
    m_links.push_back(
        std::make_unique<FaultProxy>(&m_loop, m_servers.back()->address()));
    Register(m_servers.size() - 1);
  };
  for (size_t shard = 0; shard < kShards; ++shard) {
    for (const char* replica : {"x", "y"})
      add("s" + std::to_string(shard) + replica,
          "shard" + std::to_string(shard), Record(shard));
  }
  add("w0", "writes", "done");
  add("w1", "writes", "done");
  for (size_t i = 0; i < kParcelServers; ++i)
    add("p" + std::to_string(i), "parcels", "parcel");
}

void Soak::Register(size_t server) {
  RegisterServer(m_store, *m_servers[server], m_services[server],
                 m_links[server]->address(),
                 kDataCentres[server % kDataCentreCount]);
}

// Each configuration version adds a search route under its own path prefix, so
// that CheckRecovery() can tell which version a gateway serves.
void Soak::PutConfig() {
  ++m_version;
  m_config_put_at = m_loop.Now();
  RouteDocument search;
  search.name = "search";
  search.path_prefix = "/search/";
  search.timeout = milliseconds(800);
  search.objective = milliseconds(120);
  search.top_records = kTopRecords;
  search.min_shard_share = 0.8;
  std::map<std::string, uint32_t> max_connections = {
      {"writes", kMaxConnections}, {"parcels", kMaxConnections}};
  for (size_t shard = 0; shard < kShards; ++shard) {
    search.shards.push_back("shard" + std::to_string(shard));
    max_connections[search.shards.back()] = kMaxConnections;
  }
  RouteDocument versioned = search;
  versioned.name = "versioned";
  versioned.path_prefix = "/v" + std::to_string(m_version) + "/";
  RouteDocument write;
  write.name = "write";
  write.path_prefix = "/write/";
  write.idempotent = false;
  write.timeout = milliseconds(700);
  write.objective = milliseconds(200);
  write.service = "writes";
  RouteDocument parcel;
  parcel.name = "parcel";
  parcel.path_prefix = "/parcel/";
  parcel.timeout = milliseconds(700);
  parcel.objective = milliseconds(200);
  parcel.service = "parcels";
  PutConfiguration(m_store, m_version, {search, versioned, write, parcel},
                   max_connections);
}

void Soak::ReportViolation(const std::string& what) {
  m_result.violations.push_back(what);
}

// --- Requests ---

void Soak::SendRequests() {
  const size_t count = m_loop.Now() < m_burst_until ? kBurst : 1;
  for (size_t i = 0; i < count; ++i)
    SendRequest();
}

// Callers keep their connections open for further requests.
Soak::CallerPtr Soak::TakeCaller(Instance& instance) {
  if (instance.idle.empty() || RandomIndex(kNewConnectionOneIn) == 0)
    return std::make_unique<FakeCaller>(&m_loop,
                                        instance.process->caller_address());
  CallerPtr out = std::move(instance.idle.back());
  instance.idle.pop_back();
  return out;
}

void Soak::SendRequest() {
  if (m_pending.size() >= kMaxPending)
    return;
  Pending pending;
  pending.gateway = RandomIndex(m_gateways.size());
  pending.kind = RandomIndex(3) == 0 ? Kind::kWrite : Kind::kSearch;
  pending.id = "q" + std::to_string(m_next_id++);
  pending.sent_at = m_loop.Now();
  m_sent[pending.id] = {.gateway = pending.gateway, .at = pending.sent_at};
  pending.caller = TakeCaller(m_gateways[pending.gateway]);
  const bool write = pending.kind == Kind::kWrite;
  const std::string body = write ? "body of " + pending.id : "";
  pending.caller->Send(RequestHead(write ? "POST /write/a" : "GET /search/q",
                                   pending.id, kDeadline, body.size()),
                       body);
  ++m_result.requests;
  m_pending.push_back(std::move(pending));
}

// Its caller repeats the request at any process, also while faults are
// injected.
void Soak::SendCrashingRequest(CrashingRequest& request) {
  Pending pending;
  pending.gateway = RandomIndex(m_gateways.size());
  pending.kind = Kind::kCrash;
  ++m_result.requests;
  pending.id = "c" + std::to_string(m_next_id++);
  pending.sent_at = m_loop.Now();
  m_sent[pending.id] = {.gateway = pending.gateway, .at = pending.sent_at};
  pending.caller = TakeCaller(m_gateways[pending.gateway]);
  pending.caller->Send(
      RequestHead(std::string("GET ") + request.target, pending.id, kDeadline));
  const TimePoint calm_since = pending.sent_at - kLearningTime;
  request.repetitions[pending.id] = {
      .sent_at = pending.sent_at,
      .in_touch = m_gateways[pending.gateway].UndisturbedSince(calm_since) &&
                  m_store_disturbed_at < calm_since};
  m_pending.push_back(std::move(pending));
}

// Crashed servers start again under their ids, after some time.
void Soak::RestartServers() {
  const TimePoint now = m_loop.Now();
  for (size_t i = 0; i < m_servers.size(); ++i) {
    if (m_servers[i]->running())
      continue;
    const auto [due, added] = m_restarts.try_emplace(i, now + kServerRestart);
    if (added || now < due->second)
      continue;
    m_restarts.erase(due);
    m_servers[i]->Restart();
    Register(i);
  }
}

void Soak::TakeStoreCopy() {
  m_store_copies.push_back(
      {.taken_at = m_loop.Now(), .content = m_store.TakeCopy()});
  if (m_store_copies.size() > kStoreCopies)
    m_store_copies.pop_front();
}

void Soak::RestoreStore() {
  if (!m_inject_faults || m_store_copies.empty())
    return;
  const auto random_time = [this](Duration most) {
    return Duration(static_cast<int64_t>(m_restore_random() %
                                         static_cast<uint64_t>(most.count())));
  };
  ++m_result.restores;
  m_store_disturbed_at = m_loop.Now();
  const size_t index = m_restore_random() % m_store_copies.size();
  const auto copy = m_store_copies[index].content;
  // A later restore can't be from a copy of what was lost.
  m_store_copies.erase(
      m_store_copies.begin() + static_cast<ptrdiff_t>(index) + 1,
      m_store_copies.end());
  m_store.SetRefusing(true);
  m_loop.SubscribeOnce(
      random_time(kMaxRestoreOutage), [this, copy, random_time] {
        m_store.Restore(*copy);
        m_store.SetRefusing(false);
        m_store_disturbed_at = m_loop.Now();
        m_loop.SubscribeOnce(random_time(kMaxRepeatDelay), [this] {
          m_store.RepeatLostChanges();
          m_store_disturbed_at = m_loop.Now();
        });
      });
}

void Soak::SendVersionRequest() {
  Pending pending;
  pending.gateway = RandomIndex(m_gateways.size());
  pending.kind = Kind::kVersion;
  pending.id = "v" + std::to_string(m_next_id++);
  pending.sent_at = m_loop.Now();
  m_sent[pending.id] = {.gateway = pending.gateway, .at = pending.sent_at};
  pending.version = m_version;
  ++m_result.requests;
  pending.caller = TakeCaller(m_gateways[pending.gateway]);
  pending.caller->Send(RequestHead("GET /v" + std::to_string(m_version) + "/q",
                                   pending.id, kDeadline));
  m_pending.push_back(std::move(pending));
}

void Soak::CheckVersion(const Pending& pending) {
  constexpr int kNotFound = 404;
  Instance& instance = m_gateways[pending.gateway];
  const int status = pending.caller->reply().status;
  if (status != kNotFound) {
    if (status == 200 && instance.UndisturbedSince(pending.sent_at))
      instance.served_version =
          std::max(instance.served_version, pending.version);
    return;
  }
  // A newer version drops the route.
  if (pending.version != m_version)
    return;
  const std::string what = pending.id + ": " + instance.process->id() +
                           " has no route of version " +
                           std::to_string(pending.version);
  if (instance.served_version >= pending.version &&
      instance.UndisturbedSince(pending.sent_at))
    ReportViolation(what + ", which it has served before");
  const TimePoint calm_since = pending.sent_at - kLearningTime;
  if (pending.sent_at - m_config_put_at > kConfigApplyTime &&
      instance.UndisturbedSince(calm_since) &&
      m_store_disturbed_at < calm_since)
    ReportViolation(what + " in time");
}

// Repetitions that reached a server later than the learning time after the
// third crash, from processes that were in touch.
void Soak::CheckCrashingRequest(const CrashingRequest& request) {
  m_result.crashes += request.crashes.size();
  if (request.crashes.size() < 3)
    return;
  const TimePoint learned_by = request.crashes[2] + kLearningTime;
  size_t late = 0;
  for (const auto& server : m_servers) {
    for (const std::string& id : server->executed_requests()) {
      const auto found = request.repetitions.find(id);
      if (found != request.repetitions.end() && found->second.in_touch &&
          found->second.sent_at > learned_by)
        ++late;
    }
  }
  if (late > kMaxLateRepetitions)
    ReportViolation(std::string(request.target) +
                    ", under which three servers had ended, reached " +
                    std::to_string(late) + " servers more; " +
                    std::to_string(request.crashes.size()) + " ended in all");
}

void Soak::CollectAnswers() {
  const TimePoint now = m_loop.Now();
  for (size_t i = m_pending.size(); i-- > 0;) {
    Pending& pending = m_pending[i];
    const Duration limit = kDeadline + kAnswerGracePeriod;
    const bool late = now - pending.sent_at > limit;
    if (!pending.caller->done() && !late)
      continue;
    Check(pending);
    if (pending.caller->done() &&
        pending.caller->reply().outcome == gateway::WireOutcome::kReply)
      m_gateways[pending.gateway].idle.push_back(std::move(pending.caller));
    else
      pending.caller->Close();
    m_pending.erase(m_pending.begin() + static_cast<ptrdiff_t>(i));
  }
}

void Soak::Check(const Pending& pending) {
  if (!pending.caller->done()) {
    if (m_gateways[pending.gateway].UndisturbedSince(pending.sent_at))
      ReportViolation(
          pending.id + ": no answer " +
          std::to_string((kDeadline + kAnswerGracePeriod).count() / 1000) +
          " ms after it was sent");
    return;
  }
  if (pending.caller->reply().outcome != gateway::WireOutcome::kReply) {
    // A failed connect attempt sent no request.
    if (pending.caller->reply().outcome != gateway::WireOutcome::kNotSent &&
        m_gateways[pending.gateway].UndisturbedSince(pending.sent_at))
      ReportViolation(pending.id + ": the connection to " +
                      m_gateways[pending.gateway].process->id() +
                      " ended without an answer");
    return;
  }
  ++m_result.answered;
  switch (pending.kind) {
    case Kind::kSearch:
      CheckSearch(pending);
      break;
    case Kind::kWrite:
      CheckWrite(pending);
      break;
    case Kind::kVersion:
      CheckVersion(pending);
      break;
    case Kind::kCrash:
      break;
  }
}

// The proofs must name distinct shards and this request, the shards answered
// and missing must add up to all shards, and the body must be the merge of the
// shards that answered.
void Soak::CheckSearch(const Pending& pending) {
  const gateway::testing::CallerReply& reply = pending.caller->reply();
  if (reply.status != 200)
    return;
  const std::optional<Coverage> coverage = ReadCoverage(reply);
  if (!coverage) {
    ReportViolation(pending.id + ": merged answer without proofs");
    return;
  }
  std::set<std::string> shards;
  std::vector<std::string> parts;
  for (const auto& [server, request_id] : coverage->parts) {
    // Server ids have the form "s<shard><replica>".
    const std::string shard = server.substr(1, server.size() - 2);
    if (request_id != pending.id)
      ReportViolation(pending.id +
                      ": part belongs to another request: " + request_id);
    if (!shards.insert(shard).second)
      ReportViolation(pending.id + ": shard " + shard + " is included twice");
    parts.push_back(Record(std::stoul(shard)));
  }
  const size_t missing = coverage->missing;
  if (shards.size() + missing != kShards || shards.size() < kMinShards)
    ReportViolation(pending.id + ": " + std::to_string(shards.size()) +
                    " shards answered and " + std::to_string(missing) +
                    " are missing");
  if (reply.body != gateway::MergeTopRecords(parts, kTopRecords))
    ReportViolation(pending.id + ": body is not the merge of its parts");
}

void Soak::CheckWrite(const Pending& pending) {
  const gateway::testing::CallerReply& reply = pending.caller->reply();
  m_writes[pending.id] = reply.status;
  if (reply.status == 200 && reply.body != "done")
    ReportViolation(pending.id + ": success without the server's body");
}

void Soak::CheckWritesRanOnce() {
  std::map<std::string, int> runs;
  for (const auto& server : m_servers) {
    if (!server->id().starts_with("w"))
      continue;
    for (const std::string& id : server->executed_requests())
      ++runs[id];
  }
  for (const auto& [id, count] : runs) {
    if (count > 1)
      ReportViolation(id + ": write was executed " + std::to_string(count) +
                      " times");
    const auto answered = m_writes.find(id);
    if (answered != m_writes.end() &&
        (answered->second == 503 || answered->second == 429))
      ReportViolation(id + ": write was refused but had been executed");
  }
}

// --- Faults ---

void Soak::InjectFault() {
  if (!m_inject_faults)
    return;
  ++m_result.faults;
  switch (RandomIndex(8)) {
    case 0:
    case 1:
      InjectProcessFault();
      break;
    case 2:
      InjectStoreFault();
      break;
    case 3:
      InjectDataCentreFault();
      break;
    case 4:
      m_burst_until = m_loop.Now() + kBurstLength;
      break;
    default:
      InjectLinkFault();
  }
}

void Soak::InjectLinkFault() {
  const size_t index = RandomIndex(m_links.size());
  if (m_statements.contains(index))
    return;
  constexpr LinkFault kFaults[] = {LinkFault::kNone, LinkFault::kDelay,
                                   LinkFault::kStall, LinkFault::kReplyOnly,
                                   LinkFault::kRequestOnly};
  constexpr ServerFault kServerFaults[] = {
      ServerFault::kNone,    ServerFault::kNone,
      ServerFault::kRefuse,  ServerFault::kError,
      ServerFault::kNoProof, ServerFault::kMismatchedRequestId,
      ServerFault::kNoReply, ServerFault::kWrongServer};
  switch (RandomIndex(3)) {
    case 0:
      m_links[index]->SetFault(kFaults[RandomIndex(std::size(kFaults))]);
      break;
    case 1:
      m_links[index]->ResetAll();
      break;
    default:
      m_servers[index]->SetFault(
          kServerFaults[RandomIndex(std::size(kServerFaults))]);
  }
}

void Soak::StopProcess(Instance& instance) {
  if (!instance.process->running() || instance.stopped)
    return;
  instance.process->Signal(SIGSTOP);
  instance.stopped = true;
  instance.last_disturbance = m_loop.Now();
}

void Soak::InjectProcessFault() {
  Instance& instance = m_gateways[RandomIndex(m_gateways.size())];
  if (!instance.process->running())
    return;
  instance.last_disturbance = m_loop.Now();
  if (instance.stopped) {
    instance.process->Signal(SIGCONT);
    instance.stopped = false;
    return;
  }
  switch (RandomIndex(4)) {
    case 0:
      instance.process->Signal(SIGKILL);
      instance.killed = true;
      break;
    case 1:
      StopProcess(instance);
      break;
    case 2:
      instance.process->Signal(SIGHUP);
      break;
    default:
      instance.process->Signal(SIGTERM);
      instance.terminating = true;
  }
}

// Simulates a power loss of one data centre, or restores its links.
void Soak::InjectDataCentreFault() {
  const size_t affected = RandomIndex(kDataCentreCount);
  const LinkFault fault =
      RandomIndex(2) == 0 ? LinkFault::kStall : LinkFault::kNone;
  for (size_t i = 0; i < m_links.size(); ++i) {
    if (i % kDataCentreCount == affected && !m_statements.contains(i))
      m_links[i]->SetFault(fault);
  }
  for (Instance& instance : m_gateways) {
    if (instance.data_centre == affected && fault == LinkFault::kStall)
      StopProcess(instance);
  }
}

void Soak::InjectStoreFault() {
  m_store_disturbed_at = m_loop.Now();
  // Either the link of one data centre to the store, or the store itself.
  FaultProxy& link = *m_store_links[RandomIndex(kDataCentreCount)];
  switch (RandomIndex(6)) {
    case 0:
      m_store.SetRefusing(true);
      break;
    case 1:
      m_store.SetRefusing(false);
      break;
    case 2:
      m_store.Compact();
      break;
    case 3:
      link.SetFault(link.fault() == LinkFault::kNone ? LinkFault::kStall
                                                     : LinkFault::kNone);
      break;
    case 4:
      link.ResetAll();
      break;
    default:
      PutConfig();
  }
}

// A fault of the store lasts until it is taken back.
bool Soak::IsStoreDisturbed() const {
  return m_store.refusing() ||
         std::any_of(m_store_links.begin(), m_store_links.end(),
                     [](const auto& link) {
                       return link->fault() != LinkFault::kNone;
                     });
}

void Soak::ReapProcesses() {
  if (IsStoreDisturbed())
    m_store_disturbed_at = m_loop.Now();
  for (Instance& instance : m_gateways) {
    // A stopped process cannot answer, so it counts as disturbed until it is
    // continued.
    if (instance.stopped || instance.terminating)
      instance.last_disturbance = m_loop.Now();
    const auto status = instance.process->Reap();
    if (!status)
      continue;
    const bool expected_exit = *status == -SIGKILL || instance.terminating;
    if (!expected_exit ||
        (instance.terminating && *status != 0 && *status != -SIGKILL))
      ReportViolation(instance.process->id() + ": exited with status " +
                      std::to_string(*status));
    instance.terminating = false;
    instance.stopped = false;
    instance.killed = false;
    instance.served_version = 0;
    instance.last_disturbance = m_loop.Now();
    instance.process->Start();
  }
}

void Soak::ClearFaults() {
  m_inject_faults = false;
  m_store_disturbed_at = m_loop.Now();
  for (size_t i = 0; i < m_servers.size(); ++i)
    EndStatement(i);
  m_store.SetRefusing(false);
  for (const auto& link : m_store_links)
    link->SetFault(LinkFault::kNone);
  for (const auto& link : m_links)
    link->SetFault(LinkFault::kNone);
  for (const auto& server : m_servers)
    server->SetFault(ServerFault::kNone);
  for (Instance& instance : m_gateways) {
    if (instance.stopped && instance.process->running())
      instance.process->Signal(SIGCONT);
    instance.stopped = false;
  }
  PutConfig();
}

// Every process must serve the newest configuration version after recovery.
void Soak::CheckRecovery() {
  for (const Instance& instance : m_gateways) {
    FakeCaller caller(&m_loop, instance.process->caller_address());
    caller.Send(RequestHead("GET /v" + std::to_string(m_version) + "/q",
                            "r" + std::to_string(m_next_id++), kDeadline));
    RunUntil(
        m_loop, [&caller] { return caller.done(); }, seconds(2));
    if (!caller.done() || caller.reply().status != 200)
      ReportViolation(
          instance.process->id() + ": does not serve version " +
          std::to_string(m_version) + " after recovery (status " +
          std::to_string(caller.done() ? caller.reply().status : 0) + ")");
  }
}

SoakResult Soak::Run() {
  std::vector<TimerHandle> timers = {
      m_loop.SubscribeEvery(kRequestPeriod, [this] { SendRequests(); }),
      m_loop.SubscribeEvery(kCrashPeriod,
                            [this] {
                              for (CrashingRequest& request :
                                   m_crashing_requests)
                                SendCrashingRequest(request);
                            }),
      m_loop.SubscribeEvery(kLimitPeriod, [this] { StartLimit(); }),
      m_loop.SubscribeEvery(kLeavingPeriod, [this] { StartLeaving(); }),
      m_loop.SubscribeEvery(kPausePeriod, [this] { StartPause(); }),
      m_loop.SubscribeEvery(kStoreCopyPeriod, [this] { TakeStoreCopy(); }),
      m_loop.SubscribeEvery(kRestorePeriod, [this] { RestoreStore(); }),
      m_loop.SubscribeEvery(kVersionRequestPeriod,
                            [this] { SendVersionRequest(); }),
      m_loop.SubscribeEvery(kFaultPeriod, [this] { InjectFault(); }),
      m_loop.SubscribeEvery(kCheckPeriod, [this] {
        CollectAnswers();
        ReapProcesses();
        RestartServers();
      })};
  RunUntil(
      m_loop, [] { return false; }, m_options.duration);
  ClearFaults();
  RunUntil(
      m_loop, [] { return false; }, kRecoveryTime);
  CheckRecovery();
  for (const TimerHandle timer : timers)
    m_loop.Unsubscribe(timer);
  CheckWritesRanOnce();
  for (const CrashingRequest& request : m_crashing_requests)
    CheckCrashingRequest(request);
  return m_result;
}

}  // namespace wasabihook::soak
