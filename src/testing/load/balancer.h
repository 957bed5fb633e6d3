#ifndef SRC_TESTING_LOAD_BALANCER_H_
#define SRC_TESTING_LOAD_BALANCER_H_

// PRIVATE HEADER. The platform's load balancer in front of the daemons.

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace wasabihook::load {

// Round-robin over the instances whose /readyz gave 200 at the last check; over
// all if none did. Thread-safe.
class Balancer {
 public:
  explicit Balancer(std::vector<std::string> instances);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  size_t Next();
  size_t ready() const;

 private:
  void Check();

  const std::vector<std::string> m_instances;
  std::unique_ptr<std::atomic<bool>[]> m_ready;
  std::atomic<uint64_t> m_next = 0;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_BALANCER_H_
