#ifndef SRC_TESTING_LOAD_LOAD_BALANCER_H_
#define SRC_TESTING_LOAD_LOAD_BALANCER_H_

// PRIVATE HEADER. Simulates the platform's load balancer in front of the
// daemons.

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace wasabihook::load {

// Round-robin over the instances whose last /readyz check returned 200, or over
// all instances if none did. Thread-safe.
class LoadBalancer {
 public:
  explicit LoadBalancer(std::vector<std::string> instances);
  ~LoadBalancer();
  LoadBalancer(const LoadBalancer&) = delete;
  LoadBalancer& operator=(const LoadBalancer&) = delete;

  size_t NextInstance();
  size_t ready_count() const;

 private:
  void CheckReadiness();

  const std::vector<std::string> m_instances;
  std::unique_ptr<std::atomic<bool>[]> m_ready;
  std::atomic<uint64_t> m_next = 0;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_LOAD_BALANCER_H_
