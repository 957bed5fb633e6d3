#ifndef SRC_TESTING_LOAD_SETTINGS_PUBLISHER_H_
#define SRC_TESTING_LOAD_SETTINGS_PUBLISHER_H_

// PRIVATE HEADER. Writes the teams' settings to the platform's store, as the
// teams' automation does, and records every published snapshot.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "testing/load/backends_control.h"
#include "testing/load/oracle.h"
#include "wasabihook/platform.h"

namespace wasabihook::load {

class SettingsPublisher {
 public:
  // `settings` is TOML text that is appended to each team's subtree.
  SettingsPublisher(KeyValueStore* store,
                    const BackendsControl* backends,
                    std::vector<std::string> teams,
                    std::string settings);

  // Writes each team's subtree for the current state of the fake backend
  // servers. Throws std::runtime_error if the platform rejects a write.
  void Publish();

  // Snapshots of every subtree written so far.
  const std::map<std::string, std::map<SnapshotId, PublishedSnapshot>>&
  published() const {
    return m_published;
  }

 private:
  void WriteKey(const std::string& key, const std::string& text);
  void RecordSnapshots(const std::string& team, const std::string& text);

  KeyValueStore* const m_store;
  const BackendsControl* const m_backends;
  const std::vector<std::string> m_teams;
  const std::string m_settings;
  std::map<std::string, std::map<SnapshotId, PublishedSnapshot>> m_published;
};

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_SETTINGS_PUBLISHER_H_
