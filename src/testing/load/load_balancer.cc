#include "testing/load/load_balancer.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "testing/load/http_call.h"

namespace wasabihook::load {
namespace {

constexpr std::chrono::milliseconds kCheckInterval(250);
constexpr std::chrono::milliseconds kCheckTimeout(500);

}  // namespace

LoadBalancer::LoadBalancer(std::vector<std::string> instances)
    : m_instances(std::move(instances)),
      m_ready(std::make_unique<std::atomic<bool>[]>(m_instances.size())) {
  m_thread = std::thread([this] {
    while (!m_stopping) {
      CheckReadiness();
      std::this_thread::sleep_for(kCheckInterval);
    }
  });
}

LoadBalancer::~LoadBalancer() {
  m_stopping = true;
  m_thread.join();
}

size_t LoadBalancer::NextInstance() {
  const size_t size = m_instances.size();
  const size_t first = m_next++ % size;
  for (size_t i = 0; i < size; ++i) {
    if (const size_t at = (first + i) % size; m_ready[at]) {
      return at;
    }
  }
  return first;
}

size_t LoadBalancer::ready_count() const {
  return static_cast<size_t>(std::count_if(
      m_ready.get(), m_ready.get() + m_instances.size(),
      [](const std::atomic<bool>& ready) { return ready.load(); }));
}

void LoadBalancer::CheckReadiness() {
  for (size_t i = 0; i < m_instances.size() && !m_stopping; ++i) {
    m_ready[i] = HttpCall("GET", "http://" + m_instances[i] + "/readyz", "",
                          kCheckTimeout)
                     .status == 200;
  }
}

}  // namespace wasabihook::load
