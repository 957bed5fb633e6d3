#ifndef SRC_TESTING_FAKE_SETTINGS_H_
#define SRC_TESTING_FAKE_SETTINGS_H_

#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "wasabihook/settings.h"

namespace wasabihook::testing {

// SettingsView whose settings are set by the test. Thread-safe.
class FakeSettings : public SettingsView {
 public:
  TeamSettingsPtr Team(const TeamId& team) const override {
    std::lock_guard lock(m_mutex);
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? nullptr : it->second;
  }

  void Put(TeamSettings settings) {
    std::lock_guard lock(m_mutex);
    const TeamId team = settings.team;
    m_teams[team] = std::make_shared<const TeamSettings>(std::move(settings));
  }

 private:
  mutable std::mutex m_mutex;
  std::map<TeamId, TeamSettingsPtr> m_teams;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_SETTINGS_H_
