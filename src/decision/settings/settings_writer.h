#ifndef SRC_DECISION_SETTINGS_SETTINGS_WRITER_H_
#define SRC_DECISION_SETTINGS_SETTINGS_WRITER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decision/settings/settings_parser.h"
#include "decision/settings/settings_text.h"
#include "wasabihook/platform.h"
#include "wasabihook/random_source.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

struct SettingsWrite {
  std::string subtree;
  // Complete new value; its `[change]` table is replaced.
  std::string text;
  // Value that `text` was edited from; the base of a three-way merge.
  std::string base_text;
  // Revision that `text` was edited from; 0 creates the subtree.
  Revision base_revision;
  // Identifies this change; a change is applied at most once for each id.
  std::string change_id;
  // If another change was written first, merges the two by key unless they
  // modify the same key differently.
  bool merge = false;
};

enum class SettingsWriteStatus : uint8_t {
  kWritten,
  kInvalid,      // `problems` lists why; nothing was written.
  kConflict,     // `current` and `conflicts` show both changes.
  kUnavailable,  // The store did not answer in time; nothing was written.
  kUnknown,      // Outcome not known in time; retry with the same change id.
};

struct SettingsWriteResult {
  SettingsWriteStatus status = SettingsWriteStatus::kUnavailable;
  // Revision that holds the change, for kWritten.
  Revision revision;
  // True if reading the value back showed that the change had been applied.
  bool found_applied = false;
  // True if the change was merged with one that was written first.
  bool merged = false;
  std::vector<SettingsProblem> problems;
  std::optional<KeyValue> current;
  // Keys that both changes modify, for kConflict.
  std::vector<SettingsConflict> conflicts;
};

// All pointers outlive the calls in progress.
struct SettingsWriterDeps {
  TimerService* timers = nullptr;
  KeyValueStore* store = nullptr;
  RandomSource random;
};

// Writes a subtree by compare-and-swap on its revision. If the response to a
// write is lost, its outcome is determined by reading the value back, which
// contains the ids of the last kMaxStoredChangeIds changes. Thread-safe.
class SettingsWriter {
 public:
  explicit SettingsWriter(SettingsWriterDeps deps) : m_deps(std::move(deps)) {}

  // Calls `done` exactly once, never from within Put(), no later than `timeout`
  // plus the duration of one call to the store.
  void Put(SettingsWrite write,
           Duration timeout,
           std::function<void(SettingsWriteResult)> done);

 private:
  class Operation;
  SettingsWriterDeps m_deps;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_SETTINGS_WRITER_H_
