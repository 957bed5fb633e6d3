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
  // The whole new value; its `[change]` table is replaced.
  std::string text;
  // Value that `text` was edited from; needed to merge.
  std::string base_text;
  // Revision that `text` was edited from; 0 creates the subtree.
  Revision base_revision;
  // Identifies this change; the same id is never applied twice.
  std::string change_id;
  // On a lost race, merges by key where the two changes do not touch the same
  // key.
  bool merge = false;
};

enum class SettingsWriteStatus : uint8_t {
  kWritten,
  kInvalid,      // `problems` lists why; nothing was written.
  kConflict,     // `current` and `conflicts` show both changes.
  kUnavailable,  // The store did not answer in time; nothing was written.
  kUnknown,      // Not settled in time: run again with the same change id.
};

struct SettingsWriteResult {
  SettingsWriteStatus status = SettingsWriteStatus::kUnavailable;
  // Revision that holds the change, for kWritten.
  Revision revision;
  // True if the change was found by reading back.
  bool found_applied = false;
  // True if the change was merged with one that came before it.
  bool merged = false;
  std::vector<SettingsProblem> problems;
  std::optional<KeyValue> current;
  // Keys that both changes touch, for kConflict.
  std::vector<SettingsConflict> conflicts;
};

// All pointers outlive the calls under way.
struct SettingsWriterDeps {
  TimerService* timers = nullptr;
  KeyValueStore* store = nullptr;
  RandomSource random;
};

// Writes a subtree by compare-and-swap on its revision. A write whose response
// was lost is settled by reading back: the value carries the ids of the last
// kMaxStoredChangeIds changes. Thread-safe.
class SettingsWriter {
 public:
  explicit SettingsWriter(SettingsWriterDeps deps) : m_deps(std::move(deps)) {}

  // Calls `done` once, not from within Put(), at `timeout` at the latest plus
  // the time of one call to the store.
  void Put(SettingsWrite write,
           Duration timeout,
           std::function<void(SettingsWriteResult)> done);

 private:
  class Operation;
  SettingsWriterDeps m_deps;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_SETTINGS_WRITER_H_
