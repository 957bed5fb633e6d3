// Each of three instances is killed once and starts again some seconds later,
// or stands still for some seconds, while a team sends several times its
// allowance.
//
// Breaks QUOTA if in some window more requests of the team are both sent and
// arrive at a server that runs them than the allowance and its tolerance.

#include "kit.hpp"

using namespace kit;

namespace {

constexpr double kRate = 50;
constexpr double kBurst = 50;
constexpr double kWindow = 5;
constexpr double kOverage = 0.1;
constexpr double kSlack = 20;
constexpr double kDown = 3.5;
constexpr double kFreeze = 4.0;
constexpr double kBetween = 16.0;
constexpr int kDeadlineMs = 2500;
constexpr int kCallersPerInstance = 40;
constexpr const char* kHost = "h.example";

std::string Configuration() {
  const json route = {
      {"name", "fetch"},      {"host", kHost},      {"path_prefix", "/fetch/"},
      {"type", "idempotent"}, {"timeout_ms", 2500}, {"slo_ms", 250},
      {"priority", 2},        {"max_attempts", 2},  {"backend", "parcels"}};
  return json{
      {"version", 1},
      {"routes", {route}},
      {"backends",
       {{{"name", "parcels"}, {"health_path", "/health"}, {"max_conns", 60}}}},
      {"tenants",
       {{{"name", "hot"},
         {"api_keys", {"key-hot"}},
         {"rate_per_s", kRate},
         {"burst", kBurst}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 262144},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}}}
      .dump();
}

struct Counted {
  double sent = 0;
  double run = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4)
    return kCouldNotRun;
  const bool kills = std::string(argv[3]) == "kill";
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  Record record(argv[2]);
  Store store("127.0.0.1");
  std::vector<std::unique_ptr<Backend>> servers;
  for (const char* zone : {"a", "b", "c"}) {
    servers.push_back(std::make_unique<Backend>(
        "127.0.0.1", std::string("i-") + zone, "parcels", zone, 0.02, 8));
    servers.back()->Register(store);
  }
  store.Put("op/config", Configuration());
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (const char* zone : {"a", "b", "c"}) {
    Bounds bounds;
    bounds.values["allowance_window_s"] = "5";
    bounds.values["allowance_overage"] = "0.1";
    bounds.values["allowance_slack"] = "20";
    gateways.push_back(
        std::make_unique<Gateway>(folder, std::string("front-") + zone, zone,
                                  "127.0.0.1", store.address(), bounds));
  }
  for (const auto& gateway : gateways)
    gateway->Start();
  if (!AwaitReady(gateways))
    return kCouldNotRun;
  Sleep(6);

  std::atomic<bool> stop{false};
  std::atomic<int> next{0};
  std::mutex mutex;
  std::map<std::string, double> sent_at;
  std::vector<std::thread> threads;
  const auto call = [&](const Gateway* gateway) {
    Connection connection;
    while (!stop) {
      if (!connection.open() && !connection.Connect(gateway->caller())) {
        Sleep(0.2);
        continue;
      }
      const std::string id = "q" + std::to_string(++next);
      const double sent = Now();
      {
        const std::lock_guard lock(mutex);
        sent_at[id] = sent;
      }
      Message answer;
      const bool answered =
          connection.Write(Head("GET /fetch/" + id, kHost, id, kDeadlineMs,
                                "X-Key: key-hot\r\n")) &&
          connection.Read(answer, true, sent + kDeadlineMs / 1000.0) ==
              ReadResult::kOk;
      record.Line(id, gateway->id(), "sent", sent,
                  answered ? std::to_string(answer.status) : "no answer");
      if (!answered || answer.Header("connection") == "close")
        connection.Close();
      Sleep(!answered || answer.status == 200
                ? 0.05
                : std::min(std::atof(answer.Header("retry-after").c_str()),
                           kDeadlineMs / 3000.0));
    }
  };
  for (const auto& gateway : gateways) {
    for (int i = 0; i < kCallersPerInstance; ++i)
      threads.emplace_back(call, gateway.get());
  }

  // The owner of the team's ledger is one of them.
  Sleep(6);
  for (const auto& gateway : gateways) {
    if (HasTrouble()) {
      record.Line(gateway->id(), kills ? "is killed" : "stands still");
      if (kills)
        gateway->Kill();
      else
        gateway->Signal(SIGSTOP);
    }
    Sleep(kills ? kDown : kFreeze);
    if (HasTrouble()) {
      if (kills)
        gateway->Start();
      else
        gateway->Signal(SIGCONT);
      record.Line(gateway->id(), kills ? "starts again" : "goes on");
    }
    Sleep(kBetween);
  }
  stop = true;
  Sleep(3);

  std::vector<Counted> requests;
  {
    const std::lock_guard lock(mutex);
    std::map<std::string, double> first_run;
    for (const auto& server : servers) {
      for (const Backend::Run& run : server->runs()) {
        const auto [found, added] = first_run.emplace(run.id, run.at);
        found->second = std::min(found->second, run.at);
      }
    }
    for (const auto& [id, run] : first_run) {
      requests.push_back({.sent = sent_at.at(id), .run = run});
      record.Line(id, "run", run);
    }
  }
  const double bound = (kRate * kWindow + kBurst) * (1 + kOverage) + kSlack;
  size_t most = 0;
  double most_from = 0;
  for (const Counted& first : requests) {
    const auto count = static_cast<size_t>(std::count_if(
        requests.begin(), requests.end(), [&first](const Counted& request) {
          return request.sent >= first.sent &&
                 request.run <= first.sent + kWindow;
        }));
    if (count > most) {
      most = count;
      most_from = first.sent;
    }
  }
  const bool broken = static_cast<double>(most) > bound;
  std::ostringstream result;
  result << "requests sent " << next << ", run " << requests.size()
         << "; most in " << kWindow << " s: " << most << " from second "
         << most_from << ", bound " << bound
         << (broken ? ": QUOTA is broken" : ": QUOTA holds");
  record.Line(result.str());
  record.Flush();
  std::cout << result.str() << std::endl;
  for (const auto& gateway : gateways)
    gateway->Kill();
  std::_Exit(broken ? kBroken : kHeld);
}
