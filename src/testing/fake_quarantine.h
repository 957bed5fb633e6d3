#ifndef SRC_TESTING_FAKE_QUARANTINE_H_
#define SRC_TESTING_FAKE_QUARANTINE_H_

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

#include "wasabihook/quarantine.h"

namespace wasabihook::testing {

// Quarantines a body once two distinct servers have crashed on it. A success
// removes the crash reports of its server. Entries never expire. Thread-safe.
class FakeQuarantine : public Quarantine {
 public:
  QuarantineStatus Check(const TeamId& team, Fingerprint body) const override {
    std::lock_guard lock(m_mutex);
    const auto it = m_crashes.find({team, body});
    const size_t servers = it == m_crashes.end() ? 0 : it->second.size();
    return servers == 0   ? QuarantineStatus::kNone
           : servers == 1 ? QuarantineStatus::kSuspect
                          : QuarantineStatus::kQuarantined;
  }

  void ReportCrash(const ServerId& server,
                   const std::vector<QuarantineEntry>& bodies) override {
    std::lock_guard lock(m_mutex);
    for (const QuarantineEntry& body : bodies) {
      m_crashes[{body.team, body.fingerprint}].insert(server);
    }
  }

  void ReportSuccess(const TeamId& team,
                     Fingerprint body,
                     const ServerId& server) override {
    std::lock_guard lock(m_mutex);
    if (auto it = m_crashes.find({team, body}); it != m_crashes.end()) {
      it->second.erase(server);
    }
  }

  void Merge(const QuarantineEntry& /*entry*/) override {}
  std::vector<QuarantineEntry> Entries() const override { return {}; }
  void SetOnAdded(std::function<void(QuarantineEntry)> /*hook*/) override {}

 private:
  mutable std::mutex m_mutex;
  std::map<std::pair<TeamId, Fingerprint>, std::set<ServerId>> m_crashes;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_QUARANTINE_H_
