// Measures the transport's CPU time per sub-request, against fake backend
// servers in another process. Usage:
//   wasabihook-fake-backends ... > READY &
//   backend_transport_benchmark READY SUB_REQUESTS IN_FLIGHT SHARDS
#include <sys/resource.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "peers/backend/curl_transport.h"

namespace wasabihook {
namespace {

struct Target {
  ServerId server;
  IndexSetId index_set;
  ShardGroupId group;
};

std::vector<Target> ReadTargets(const char* path) {
  std::ifstream in(path);
  const nlohmann::json ready = nlohmann::json::parse(in);
  std::vector<Target> targets;
  for (const auto& server : ready.at("servers")) {
    targets.push_back({ServerId(server.at("server").get<std::string>()),
                       IndexSetId(server.at("index_set").get<std::string>()),
                       ShardGroupId(server.at("group").get<std::string>())});
  }
  return targets;
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Closed-loop load: keeps a fixed number of sub-requests in flight.
class LoadDriver {
 public:
  LoadDriver(CurlBackendTransport* transport,
             std::vector<Target> targets,
             uint64_t total)
      : m_transport(transport), m_targets(std::move(targets)), m_total(total) {}

  void Run(uint64_t in_flight) {
    for (uint64_t i = 0; i < in_flight; ++i) {
      SendNext();
    }
    for (uint64_t done = m_done; done < m_total; done = m_done) {
      m_done.wait(done);
    }
  }
  uint64_t ok() const { return m_ok; }

 private:
  void SendNext() {
    const uint64_t number = m_next++;
    if (number >= m_total) {
      return;
    }
    const Target& target = m_targets[number % m_targets.size()];
    SubRequest request;
    request.id = SubRequestId("b-" + std::to_string(number));
    request.server = target.server;
    request.team = TeamId("bench");
    request.index_set = target.index_set;
    request.group = target.group;
    request.snapshot = {IndexVersion(1), MapVersion(1)};
    request.remaining = std::chrono::seconds(10);
    request.payload = "t" + std::to_string(number % 512);
    m_transport->Send(std::move(request), [this](const SubReply& reply) {
      m_ok += reply.outcome == SubOutcome::kOk ? 1 : 0;
      SendNext();
      ++m_done;
      m_done.notify_all();
    });
  }

  CurlBackendTransport* const m_transport;
  const std::vector<Target> m_targets;
  const uint64_t m_total;
  std::atomic<uint64_t> m_next{0};
  std::atomic<uint64_t> m_done{0};
  std::atomic<uint64_t> m_ok{0};
};

int Main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: backend_transport_benchmark READY SUB_REQUESTS "
                 "IN_FLIGHT SHARDS\n";
    return 2;
  }
  const uint64_t total = std::strtoull(argv[2], nullptr, 10);
  const uint64_t in_flight = std::strtoull(argv[3], nullptr, 10);
  BackendTransportOptions options;
  options.worker_threads =
      static_cast<uint32_t>(std::strtoul(argv[4], nullptr, 10));
  options.connection_limit = 8;
  options.expected_response_time = [](const SubRequest&) {
    return std::chrono::seconds(10);
  };
  CurlBackendTransport transport(options);
  LoadDriver warm_up(&transport, ReadTargets(argv[1]), in_flight * 10);
  warm_up.Run(in_flight);
  LoadDriver load(&transport, ReadTargets(argv[1]), total);
  const double cpu = CpuSeconds();
  const auto start = std::chrono::steady_clock::now();
  load.Run(in_flight);
  const std::chrono::duration<double> wall =
      std::chrono::steady_clock::now() - start;
  const BackendTransportStats stats = transport.Stats();
  std::cout << nlohmann::json{{"sub_requests", total},
                              {"ok", load.ok()},
                              {"cpu_us_per_sub_request",
                               (CpuSeconds() - cpu) * 1e6 /
                                   static_cast<double>(total)},
                              {"sub_requests_per_s",
                               static_cast<double>(total) / wall.count()},
                              {"opened", stats.opened},
                              {"reused", stats.reused}}
                   .dump()
            << "\n";
  return 0;
}

}  // namespace
}  // namespace wasabihook

int main(int argc, char** argv) {
  return wasabihook::Main(argc, argv);
}
