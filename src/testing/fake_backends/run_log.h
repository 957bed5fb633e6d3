// Private. Log of the work that the fake servers executed.
#ifndef SRC_TESTING_FAKE_BACKENDS_RUN_LOG_H_
#define SRC_TESTING_FAKE_BACKENDS_RUN_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace wasabihook::testing {

struct Run {
  std::string kind;  // "search", "fetch" or "operation"
  std::string server;
  std::string index_set;
  std::string request_id;
  std::string group;
  // Search text, operation text or record key, as received.
  std::string payload;
  std::string idempotency_key;  // Set for operations only.
  uint64_t index_version = 0;
  uint64_t map_version = 0;
};

// Runs of all servers. Keeps every run of an operation, but only the newest
// reads, which bounds the memory under load. Thread-safe.
class RunLog {
 public:
  static constexpr size_t kDefaultMaxReads = 20000;

  explicit RunLog(size_t max_reads = kDefaultMaxReads)
      : m_max_reads(max_reads) {}

  void Add(Run run);
  void Clear();
  // Number of runs of each idempotency key.
  std::map<std::string, uint64_t> RunsByKey() const;
  std::vector<Run> Operations() const;
  std::vector<Run> Reads() const;

 private:
  const size_t m_max_reads;
  mutable std::mutex m_mutex;
  std::vector<Run> m_operations;
  std::deque<Run> m_reads;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKENDS_RUN_LOG_H_
