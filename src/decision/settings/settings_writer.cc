#include "decision/settings/settings_writer.h"

#include <algorithm>
#include <utility>

#include "decision/membership/backoff.h"
#include "decision/settings/server_address.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

bool Contains(const std::vector<std::string>& ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

std::vector<SettingsProblem> Check(const SettingsWrite& write) {
  if (!IsName(write.change_id)) {
    return {{"change_id", 0, write.change_id,
             "name of 1 to 64 letters, digits, '-', '_' or '.'"}};
  }
  return CheckSettings(write.subtree, write.text);
}

}  // namespace

// State of one Put(): reads, writes and reads again until the outcome is known.
// Each write is conditional on the revision of a value that was read and does
// not contain the change id, so the change takes effect at most once.
class SettingsWriter::Operation
    : public std::enable_shared_from_this<Operation> {
 public:
  Operation(SettingsWriterDeps deps,
            SettingsWrite write,
            TimePoint deadline,
            std::function<void(SettingsWriteResult)> done)
      : m_deps(std::move(deps)),
        m_write(std::move(write)),
        m_key(std::string(kSettingsKeyPrefix) + m_write.subtree),
        m_deadline(deadline),
        m_done(std::move(done)),
        m_backoff(config::kPlatformBackoff, config::kWatchMaxBackoff) {}

  void Read() {
    m_deps.store->Get(m_key, [self = shared_from_this()](GetResult result) {
      self->OnRead(std::move(result));
    });
  }

 private:
  void OnRead(GetResult result) {
    if (result.status == StoreStatus::kNotFound) {
      result.entry = {m_key, "", Revision(0)};
    } else if (result.status != StoreStatus::kOk) {
      Retry();
      return;
    }
    const std::vector<std::string> ids = ReadChangeIds(result.entry.value);
    if (Contains(ids, m_write.change_id)) {
      m_result.found_applied = true;
      m_result.revision = result.entry.revision;
      Finish(SettingsWriteStatus::kWritten);
    } else if (m_outcome_unknown &&
               result.entry.revision != m_replaced_revision &&
               !ProvesNotApplied(ids)) {
      m_result.current = std::move(result.entry);
      Finish(SettingsWriteStatus::kUnknown);
    } else if (result.entry.revision == m_write.base_revision) {
      Write(m_write.text, ids, result.entry.revision);
    } else {
      ResolveConflict(std::move(result.entry), ids);
    }
  }

  // The value was replaced after a write with an unknown outcome. Its change
  // ids prove that the write had no effect if they extend back to the value
  // before the write.
  bool ProvesNotApplied(const std::vector<std::string>& ids) const {
    if (m_replaced_ids.empty()) {
      return !ids.empty() && ids.size() < config::kMaxStoredChangeIds;
    }
    return Contains(ids, m_replaced_ids.back());
  }

  void ResolveConflict(KeyValue current, const std::vector<std::string>& ids) {
    const Revision revision = current.revision;
    // An earlier write, conditional on an older revision, can no longer
    // succeed.
    m_outcome_unknown = false;
    try {
      SettingsMerge merge =
          MergeSettings(m_write.base_text, m_write.text, current.value);
      m_result.conflicts = std::move(merge.conflicts);
      m_result.current = std::move(current);
      if (!m_write.merge || !m_result.conflicts.empty()) {
        Finish(SettingsWriteStatus::kConflict);
        return;
      }
      m_result.problems = CheckSettings(m_write.subtree, merge.text);
      if (!m_result.problems.empty()) {
        Finish(SettingsWriteStatus::kInvalid);
        return;
      }
      m_result.merged = true;
      Write(merge.text, ids, revision);
    } catch (const InvalidSettings&) {
      // The stored or the base value is not valid TOML and cannot be merged.
      m_result.current = std::move(current);
      Finish(SettingsWriteStatus::kConflict);
    }
  }

  void Write(const std::string& text,
             std::vector<std::string> ids,
             Revision expected) {
    m_replaced_ids = ids;
    m_replaced_revision = expected;
    ids.push_back(m_write.change_id);
    if (ids.size() > config::kMaxStoredChangeIds) {
      ids.erase(ids.begin(), ids.end() - config::kMaxStoredChangeIds);
    }
    m_deps.store->CompareAndSwap(
        m_key, expected, WithChangeIds(text, ids),
        [self = shared_from_this()](const WriteResult& result) {
          self->OnWritten(result);
        });
  }

  void OnWritten(const WriteResult& result) {
    switch (result.status) {
      case StoreStatus::kOk:
        m_result.revision = result.revision;
        Finish(SettingsWriteStatus::kWritten);
        return;
      case StoreStatus::kTooLarge:
        m_result.problems = {
            {"", 0, "too large for the store",
             std::to_string(config::kMaxSettingsBytes) + " bytes at most"}};
        Finish(SettingsWriteStatus::kInvalid);
        return;
      case StoreStatus::kConflict:
        // Either another change or an earlier write of this one came first.
        Read();
        return;
      case StoreStatus::kUnknown:
        m_outcome_unknown = true;
        Retry();
        return;
      case StoreStatus::kNotFound:
      case StoreStatus::kUnavailable:
        Retry();
        return;
    }
  }

  void Retry() {
    const Duration delay = m_backoff.Next(m_deps.random);
    if (m_deps.timers->Now() + delay > m_deadline) {
      Finish(m_outcome_unknown ? SettingsWriteStatus::kUnknown
                               : SettingsWriteStatus::kUnavailable);
      return;
    }
    m_deps.timers->SubscribeOnce(delay,
                                 [self = shared_from_this()] { self->Read(); });
  }

  void Finish(SettingsWriteStatus status) {
    m_result.status = status;
    m_done(std::move(m_result));
  }

  const SettingsWriterDeps m_deps;
  const SettingsWrite m_write;
  const std::string m_key;
  const TimePoint m_deadline;
  const std::function<void(SettingsWriteResult)> m_done;
  Backoff m_backoff;
  SettingsWriteResult m_result;
  // True if a write may have taken effect although its response was lost.
  bool m_outcome_unknown = false;
  // Change ids and revision of the value that the latest write was to replace.
  std::vector<std::string> m_replaced_ids;
  Revision m_replaced_revision;
};

void SettingsWriter::Put(SettingsWrite write,
                         Duration timeout,
                         std::function<void(SettingsWriteResult)> done) {
  if (std::vector<SettingsProblem> problems = Check(write); !problems.empty()) {
    SettingsWriteResult result;
    result.status = SettingsWriteStatus::kInvalid;
    result.problems = std::move(problems);
    m_deps.timers->SubscribeOnce(
        Duration(0), [done = std::move(done), result] { done(result); });
    return;
  }
  std::make_shared<Operation>(m_deps, std::move(write),
                              m_deps.timers->Now() + timeout, std::move(done))
      ->Read();
}

}  // namespace wasabihook
