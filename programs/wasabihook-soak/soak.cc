#include "wasabihook-soak/soak.h"

#include <signal.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "gateway/top_records.h"

namespace wasabihook::soak {
namespace {

using gateway::testing::CallerStandIn;
using gateway::testing::RunUntil;
using gateway::testing::ServerFault;
using gateway::testing::ServerStandIn;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kShards = 6;
constexpr size_t kNeededShards = 5;
constexpr size_t kTopRecords = 4;
constexpr int kDeadlineMs = 900;
// Time after its deadline at which a request without any answer counts as
// forgotten, at a process that was not disturbed meanwhile.
constexpr Duration kAnswerSlack = milliseconds(700);
constexpr Duration kRequestPeriod = milliseconds(10);
constexpr Duration kFaultPeriod = milliseconds(250);
constexpr Duration kCheckPeriod = milliseconds(20);
// Time that the fleet has to recover once all faults have ended.
constexpr Duration kRecoveryTime = seconds(6);
// Most requests in flight; callers of a stopped process pile up otherwise.
constexpr size_t kMaxPending = 300;

std::string Record(size_t shard) {
  return std::string(gateway::kRecordBytes, static_cast<char>('a' + shard));
}

}  // namespace

Soak::Soak(SoakOptions options)
    : m_options(std::move(options)),
      m_random(m_options.seed),
      m_store(&m_loop),
      m_store_link(std::make_unique<FaultProxy>(&m_loop, m_store.address())) {
  AddServers();
  PutConfig();
  for (uint32_t i = 0; i < m_options.gateways; ++i) {
    Instance instance;
    instance.process = std::make_unique<GatewayProcess>(
        m_options.program, m_options.folder, "gateway-" + std::to_string(i),
        m_store_link->address());
    instance.process->Start();
    instance.disturbed_at = m_loop.Now();
    m_gateways.push_back(std::move(instance));
  }
}

Soak::~Soak() {
  for (Pending& pending : m_pending)
    pending.caller->Close();
}

size_t Soak::Draw(size_t count) {
  return static_cast<size_t>(m_random() % count);
}

// Each server is reached through a proxy of its own.
void Soak::AddServers() {
  const auto add = [this](const std::string& id, const std::string& service,
                          const std::string& body) {
    m_servers.push_back(std::make_unique<ServerStandIn>(&m_loop, id, body));
    m_links.push_back(
        std::make_unique<FaultProxy>(&m_loop, m_servers.back()->address()));
    json entry = json::parse(m_servers.back()->Entry(service));
    entry["address"] = m_links.back()->address();
    m_store.Put("servers/" + id, entry.dump());
  };
  for (size_t shard = 0; shard < kShards; ++shard) {
    for (const char* copy : {"x", "y"})
      add("s" + std::to_string(shard) + copy, "shard" + std::to_string(shard),
          Record(shard));
  }
  add("w0", "writes", "done");
  add("w1", "writes", "done");
}

// Each version serves searches below a prefix of its own.
void Soak::PutConfig() {
  ++m_version;
  json gather = json::array();
  json services = json::array();
  for (size_t shard = 0; shard < kShards; ++shard) {
    gather.push_back("shard" + std::to_string(shard));
    services.push_back({{"name", gather.back()}, {"max_conns", 40}});
  }
  services.push_back({{"name", "writes"}, {"max_conns", 40}});
  const auto search = [&gather](const std::string& name,
                                const std::string& prefix) {
    return json{{"name", name},          {"host", "h.example"},
                {"path_prefix", prefix}, {"type", "idempotent"},
                {"timeout_ms", 800},     {"slo_ms", 120},
                {"max_attempts", 2},     {"gather", gather},
                {"top_k", kTopRecords},  {"min_version", 0.8}};
  };
  const json write = {{"name", "write"},          {"host", "h.example"},
                      {"path_prefix", "/write/"}, {"type", "non_idempotent"},
                      {"timeout_ms", 700},        {"slo_ms", 200},
                      {"max_attempts", 2},        {"backend", "writes"}};
  const std::string versioned = "/v" + std::to_string(m_version) + "/";
  const json routes = json::array(
      {search("search", "/search/"), search("versioned", versioned), write});
  m_store.Put(
      "op/config",
      json{{"version", m_version}, {"routes", routes}, {"backends", services}}
          .dump());
}

void Soak::Break(const std::string& what) {
  m_result.broken.push_back(what);
}

// --- Requests ---

void Soak::SendRequest() {
  if (m_pending.size() >= kMaxPending)
    return;
  Pending pending;
  pending.gateway = Draw(m_gateways.size());
  pending.kind = Draw(3) == 0 ? Kind::kWrite : Kind::kSearch;
  pending.id = "q" + std::to_string(m_next_id++);
  pending.sent_at = m_loop.Now();
  pending.caller = std::make_unique<CallerStandIn>(
      &m_loop, m_gateways[pending.gateway].process->caller_address());
  const bool write = pending.kind == Kind::kWrite;
  const std::string body = write ? "body of " + pending.id : "";
  std::string head =
      (write ? std::string("POST /write/a") : std::string("GET /search/q")) +
      " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + pending.id +
      "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs);
  if (write)
    head += "\r\nContent-Length: " + std::to_string(body.size());
  pending.caller->Send(head, body);
  ++m_result.requests;
  m_pending.push_back(std::move(pending));
}

void Soak::CollectAnswers() {
  const TimePoint now = m_loop.Now();
  for (size_t i = m_pending.size(); i-- > 0;) {
    Pending& pending = m_pending[i];
    const Duration limit = milliseconds(kDeadlineMs) + kAnswerSlack;
    const bool late = now - pending.sent_at > limit;
    if (!pending.caller->done() && !late)
      continue;
    Check(pending);
    pending.caller->Close();
    m_pending.erase(m_pending.begin() + static_cast<ptrdiff_t>(i));
  }
}

void Soak::Check(const Pending& pending) {
  if (!pending.caller->done()) {
    if (m_gateways[pending.gateway].disturbed_at < pending.sent_at)
      Break(pending.id + ": no answer " +
            std::to_string(kDeadlineMs + kAnswerSlack.count() / 1000) +
            " ms after it was sent");
    return;
  }
  if (pending.caller->reply().outcome != gateway::WireOutcome::kReply)
    return;
  ++m_result.answered;
  if (pending.kind == Kind::kSearch)
    CheckSearch(pending);
  else
    CheckWrite(pending);
}

// The proofs name distinct shards and this request, the counts add up, and the
// body is the merge of the shards named.
void Soak::CheckSearch(const Pending& pending) {
  const gateway::testing::CallerReply& reply = pending.caller->reply();
  if (reply.status != 200)
    return;
  if (!reply.headers.contains("x-part-stamps") ||
      !reply.headers.contains("x-missing-parts")) {
    Break(pending.id + ": a merged answer without its proofs");
    return;
  }
  std::istringstream list(reply.headers.at("x-part-stamps"));
  std::set<std::string> shards;
  std::vector<std::string> parts;
  std::string proof;
  while (std::getline(list >> std::ws, proof, ',')) {
    const size_t dot = proof.find('.');
    const std::string shard = proof.substr(1, dot - 2);
    if (proof.substr(dot + 1) != pending.id)
      Break(pending.id + ": a part belongs to another request: " + proof);
    if (!shards.insert(shard).second)
      Break(pending.id + ": shard " + shard + " stands twice");
    parts.push_back(Record(std::stoul(shard)));
  }
  const size_t missing = std::stoul(reply.headers.at("x-missing-parts"));
  if (shards.size() + missing != kShards || shards.size() < kNeededShards)
    Break(pending.id + ": " + std::to_string(shards.size()) + " parts and " +
          std::to_string(missing) + " missing");
  if (reply.body != gateway::MergeTopRecords(parts, kTopRecords))
    Break(pending.id + ": the body is not the merge of its parts");
}

void Soak::CheckWrite(const Pending& pending) {
  const gateway::testing::CallerReply& reply = pending.caller->reply();
  m_writes[pending.id] = reply.status;
  if (reply.status == 200 && reply.body != "done")
    Break(pending.id + ": a success without the server's body");
}

void Soak::CheckWritesRanOnce() {
  std::map<std::string, int> runs;
  for (const auto& server : m_servers) {
    if (!server->id().starts_with("w"))
      continue;
    for (const std::string& id : server->ran())
      ++runs[id];
  }
  for (const auto& [id, count] : runs) {
    if (count > 1)
      Break(id + ": a write ran " + std::to_string(count) + " times");
    const auto answered = m_writes.find(id);
    if (answered != m_writes.end() &&
        (answered->second == 503 || answered->second == 429))
      Break(id + ": a write was refused though it ran");
  }
}

// --- Faults ---

void Soak::InjectFault() {
  if (!m_faults_on)
    return;
  ++m_result.faults;
  switch (Draw(5)) {
    case 0:
      FaultProcess();
      break;
    case 1:
      FaultStore();
      break;
    default:
      FaultLink();
  }
}

void Soak::FaultLink() {
  const size_t index = Draw(m_links.size());
  constexpr LinkFault kFaults[] = {LinkFault::kNone, LinkFault::kDelay,
                                   LinkFault::kSilent, LinkFault::kReplyOnly,
                                   LinkFault::kRequestOnly};
  constexpr ServerFault kServerFaults[] = {
      ServerFault::kNone,   ServerFault::kNone,       ServerFault::kRefuse,
      ServerFault::kError,  ServerFault::kNoProof,    ServerFault::kForeignId,
      ServerFault::kSilent, ServerFault::kWrongServer};
  switch (Draw(3)) {
    case 0:
      m_links[index]->SetFault(kFaults[Draw(std::size(kFaults))]);
      break;
    case 1:
      m_links[index]->ResetAll();
      break;
    default:
      m_servers[index]->SetFault(kServerFaults[Draw(std::size(kServerFaults))]);
  }
}

void Soak::FaultProcess() {
  Instance& instance = m_gateways[Draw(m_gateways.size())];
  if (!instance.process->running())
    return;
  instance.disturbed_at = m_loop.Now();
  if (instance.stopped) {
    instance.process->Signal(SIGCONT);
    instance.stopped = false;
    return;
  }
  switch (Draw(4)) {
    case 0:
      instance.process->Signal(SIGKILL);
      break;
    case 1:
      instance.process->Signal(SIGSTOP);
      instance.stopped = true;
      break;
    case 2:
      instance.process->Signal(SIGHUP);
      break;
    default:
      instance.process->Signal(SIGTERM);
      instance.terminating = true;
  }
}

void Soak::FaultStore() {
  switch (Draw(6)) {
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
      m_store_link->SetFault(m_store_link->fault() == LinkFault::kNone
                                 ? LinkFault::kSilent
                                 : LinkFault::kNone);
      break;
    case 4:
      m_store_link->ResetAll();
      break;
    default:
      PutConfig();
  }
}

void Soak::ReapProcesses() {
  for (Instance& instance : m_gateways) {
    // A process that is stopped cannot answer; it counts as disturbed until it
    // goes on.
    if (instance.stopped || instance.terminating)
      instance.disturbed_at = m_loop.Now();
    const auto status = instance.process->Reap();
    if (!status)
      continue;
    const bool asked = *status == -SIGKILL || instance.terminating;
    if (!asked || (instance.terminating && *status != 0 && *status != -SIGKILL))
      Break(instance.process->id() + ": ended with status " +
            std::to_string(*status));
    instance.terminating = false;
    instance.stopped = false;
    instance.disturbed_at = m_loop.Now();
    instance.process->Start();
  }
}

void Soak::Heal() {
  m_faults_on = false;
  m_store.SetRefusing(false);
  m_store_link->SetFault(LinkFault::kNone);
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

// Every process serves the newest version, and nothing else by then.
void Soak::CheckRecovery() {
  for (const Instance& instance : m_gateways) {
    CallerStandIn caller(&m_loop, instance.process->caller_address());
    caller.Send("GET /v" + std::to_string(m_version) +
                "/q HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r" +
                std::to_string(m_next_id++) + "\r\nX-Deadline-Ms: 900");
    RunUntil(
        m_loop, [&caller] { return caller.done(); }, seconds(2));
    if (!caller.done() || caller.reply().status != 200)
      Break(instance.process->id() + ": does not serve version " +
            std::to_string(m_version) + " after recovery (status " +
            std::to_string(caller.done() ? caller.reply().status : 0) + ")");
  }
}

SoakResult Soak::Run() {
  std::vector<TimerHandle> timers = {
      m_loop.SubscribeEvery(kRequestPeriod, [this] { SendRequest(); }),
      m_loop.SubscribeEvery(kFaultPeriod, [this] { InjectFault(); }),
      m_loop.SubscribeEvery(kCheckPeriod, [this] {
        CollectAnswers();
        ReapProcesses();
      })};
  RunUntil(
      m_loop, [] { return false; }, m_options.duration);
  Heal();
  RunUntil(
      m_loop, [] { return false; }, kRecoveryTime);
  CheckRecovery();
  for (const TimerHandle timer : timers)
    m_loop.Unsubscribe(timer);
  CheckWritesRanOnce();
  return m_result;
}

}  // namespace wasabihook::soak
