#include "testing/fake_backends/run_log.h"

#include <utility>

namespace wasabihook::testing {

void RunLog::Add(Run run) {
  std::lock_guard lock(m_mutex);
  if (run.kind == "operation") {
    m_operations.push_back(std::move(run));
    return;
  }
  if (m_reads.size() >= m_max_reads) {
    m_reads.pop_front();
  }
  m_reads.push_back(std::move(run));
}

void RunLog::Clear() {
  std::lock_guard lock(m_mutex);
  m_operations.clear();
  m_reads.clear();
}

std::map<std::string, uint64_t> RunLog::RunsByKey() const {
  std::lock_guard lock(m_mutex);
  std::map<std::string, uint64_t> runs;
  for (const Run& run : m_operations) {
    ++runs[run.idempotency_key];
  }
  return runs;
}

std::vector<Run> RunLog::Operations() const {
  std::lock_guard lock(m_mutex);
  return m_operations;
}

std::vector<Run> RunLog::Reads() const {
  std::lock_guard lock(m_mutex);
  return {m_reads.begin(), m_reads.end()};
}

}  // namespace wasabihook::testing
