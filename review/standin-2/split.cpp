// New versions of the configuration split a route over two services and undo
// it, while a team sends more than its allowance on that route.
//
// Breaks LOST if a process has passed a request on to a server and the
// connection ends without an answer beside a configuration, over three times as
// often as at other times.

#include "kit.hpp"

using namespace kit;

namespace {

constexpr double kConfigApply = 3.0;
constexpr double kLength = 100;
// Time before the first change.
constexpr double kCalm = 3;
constexpr double kBetweenChanges = 1.0;
constexpr int kDeadlineMs = 2500;
constexpr int kHotCallers = 90;
constexpr int kCalmCallers = 12;
constexpr const char* kHost = "h.example";

json Route(const std::string& name, const std::string& prefix) {
  return {{"name", name},         {"host", kHost},      {"path_prefix", prefix},
          {"type", "idempotent"}, {"timeout_ms", 2500}, {"slo_ms", 250},
          {"priority", 2},        {"max_attempts", 2}};
}

std::string Configuration(int version, bool split) {
  json fetch = Route("fetch", "/fetch/");
  if (split)
    fetch["split"] = {{{"backend", "parcels"}, {"weight", 1}},
                      {{"backend", "parcels-new"}, {"weight", 3}}};
  else
    fetch["backend"] = "parcels";
  json read = Route("read", "/read/");
  read["backend"] = "records";
  json backends = json::array();
  for (const char* name : {"parcels", "parcels-new", "records"})
    backends.push_back(
        {{"name", name}, {"health_path", "/health"}, {"max_conns", 60}});
  return json{{"version", version},
              {"routes", {fetch, read}},
              {"backends", backends},
              {"tenants",
               {{{"name", "hot"},
                 {"api_keys", {"key-hot"}},
                 {"rate_per_s", 1500},
                 {"burst", 300}},
                {{"name", "calm"},
                 {"api_keys", {"key-calm"}},
                 {"rate_per_s", 0},
                 {"burst", 0}}}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 262144},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

// A request whose connection ended without an answer.
struct Cut {
  std::string id;
  std::string instance;
  double sent = 0;
  double at = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3)
    return kCouldNotRun;
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  Record record(argv[2]);
  Store store("127.0.0.1");
  std::vector<std::unique_ptr<Backend>> servers;
  const auto add = [&](const std::string& service, const std::string& zone,
                       double work_s) {
    servers.push_back(std::make_unique<Backend>(
        "127.0.0.1", "i-" + std::to_string(servers.size()), service, zone,
        work_s, 8));
    servers.back()->Register(store);
  };
  for (const char* zone : {"a", "b", "c"}) {
    add("parcels", zone, 0.005);
    add("parcels-new", zone, 0.005);
    add("records", zone, 0.06);
  }
  int version = 1;
  store.Put("op/config", Configuration(version, false));
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
  Sleep(3);

  std::atomic<bool> stop{false};
  std::atomic<int> next{0};
  std::mutex mutex;
  std::vector<Cut> cuts;
  std::vector<std::thread> threads;
  const auto call = [&](const Gateway* gateway, bool hot) {
    Connection connection;
    while (!stop) {
      if (!connection.open() && !connection.Connect(gateway->caller())) {
        Sleep(0.2);
        continue;
      }
      const std::string id = "q" + std::to_string(++next);
      const double sent = Now();
      Message answer;
      const bool answered =
          connection.Write(Head((hot ? "GET /fetch/" : "GET /read/") + id,
                                kHost, id, kDeadlineMs,
                                std::string("X-Key: ") +
                                    (hot ? "key-hot" : "key-calm") + "\r\n")) &&
          connection.Read(answer, true, sent + kDeadlineMs / 1000.0 + 1) ==
              ReadResult::kOk;
      if (stop)
        return;
      record.Line(id, gateway->id(), hot ? "hot" : "calm", "sent", sent,
                  answered ? std::to_string(answer.status) : "no answer");
      if (!answered) {
        connection.Close();
        const std::lock_guard lock(mutex);
        cuts.push_back({id, gateway->id(), sent, Now()});
        continue;
      }
      if (answer.Header("connection") == "close")
        connection.Close();
      Sleep(answer.status == 200
                ? 0.02
                : std::min(std::atof(answer.Header("retry-after").c_str()),
                           kDeadlineMs / 3000.0));
    }
  };
  for (const auto& gateway : gateways) {
    for (int i = 0; i < kHotCallers; ++i)
      threads.emplace_back(call, gateway.get(), true);
    for (int i = 0; i < kCalmCallers; ++i)
      threads.emplace_back(call, gateway.get(), false);
  }

  std::vector<double> changes;
  std::map<std::string, std::string> ended;
  const double begin = Now();
  double next_change = begin + kCalm;
  while (Now() < begin + kLength && ended.empty()) {
    if (HasTrouble() && Now() >= next_change) {
      ++version;
      const bool split = version % 2 == 0;
      changes.push_back(store.Put("op/config", Configuration(version, split)));
      record.Line("version", version, split ? "split" : "one service");
      next_change = Now() + kBetweenChanges;
    }
    for (const auto& gateway : gateways) {
      if (const std::string how = gateway->Ended(); !how.empty()) {
        ended[gateway->id()] = how;
        record.Line(gateway->id(), "ended by itself:", how);
      }
    }
    Sleep(0.01);
  }
  Sleep(0.3);
  stop = true;
  const double end = Now();

  std::set<std::string> run;
  for (const auto& server : servers) {
    for (const Backend::Run& item : server->runs())
      run.insert(item.id);
  }
  // Counted per machine. The windows of the changes overlap and reach from the
  // first change to the end.
  const double beside_s = changes.empty() ? 0 : end - changes.front();
  const double other_s = end - begin - beside_s;
  std::map<std::string, int> beside;
  std::map<std::string, int> others;
  {
    const std::lock_guard lock(mutex);
    for (const Cut& cut : cuts) {
      if (!run.contains(cut.id) ||
          cut.at - cut.sent >= 0.7 * kDeadlineMs / 1000.0)
        continue;
      const bool near =
          std::any_of(changes.begin(), changes.end(), [&cut](double change) {
            return cut.at >= change && cut.sent <= change + kConfigApply + 1;
          });
      ++(near ? beside : others)[cut.instance];
    }
  }
  bool broken = false;
  for (const auto& [instance, count] : beside) {
    const bool often = count / beside_s > 3 * others[instance] / other_s;
    broken = broken || often;
    record.Line("LOST", instance,
                "passed on and cut beside a configuration:", count,
                "at other times:", others[instance]);
  }
  std::ostringstream result;
  result << "versions " << version << ", requests " << next
         << ", passed on: " << run.size()
         << ", without an answer: " << cuts.size();
  for (const auto& [instance, how] : ended)
    result << ", " << instance << " ended by itself (" << how << "), "
           << beside[instance] << " requests that it had passed on were cut";
  result << (broken ? ": LOST is broken" : ": LOST holds");
  record.Line(result.str());
  record.Flush();
  std::cout << result.str() << std::endl;
  for (const auto& gateway : gateways)
    gateway->Kill();
  std::_Exit(broken ? kBroken : kHeld);
}
