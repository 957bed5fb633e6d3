// Private. What the fake servers ran.
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
  std::string idempotency_key;  // Empty but for operations.
  uint64_t index_version = 0;
  uint64_t map_version = 0;
};

// Runs of all servers. Every run of an operation is kept; of the others only
// the newest, so that load runs do not fill the memory. Thread-safe.
class RunLog {
 public:
  static constexpr size_t kDefaultKeptReads = 20000;

  explicit RunLog(size_t kept_reads = kDefaultKeptReads)
      : m_kept_reads(kept_reads) {}

  void Add(Run run);
  void Clear();
  // Number of runs of each idempotency key.
  std::map<std::string, uint64_t> RunsByKey() const;
  std::vector<Run> Operations() const;
  std::vector<Run> Reads() const;

 private:
  const size_t m_kept_reads;
  mutable std::mutex m_mutex;
  std::vector<Run> m_operations;
  std::deque<Run> m_reads;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKENDS_RUN_LOG_H_
