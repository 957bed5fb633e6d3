#ifndef SRC_DECISION_OPERATIONS_CLAIM_FINISHER_H_
#define SRC_DECISION_OPERATIONS_CLAIM_FINISHER_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "decision/operations/claim_context.h"
#include "decision/operations/claim_record.h"
#include "wasabihook/config.h"

namespace wasabihook {

// A claim of this instance on its way to its final state.
struct ClaimFinish {
  ClaimKey key;
  std::string nonce;
  // Outcome to store; for a withdrawal the run state is kNotRun.
  OperationOutcome outcome;
  // The claim as it was written, at `revision`. Read back if empty.
  std::optional<ClaimRecord> record;
  Revision revision;
  // Set if the claim was never granted, but a write of it that expected the
  // revision `late_write` may still take effect. `blocker` is written at that
  // revision to keep it out.
  std::optional<ClaimRecord> blocker;
  Revision late_write;
  uint32_t attempts = 0;
};

// Brings claims of this instance to their final state in the background.
// Retries with a backoff that all claims share, and with few calls at a time,
// so that the end of an outage of the platform causes no load spike.
// Thread-safe.
class ClaimFinisher : public std::enable_shared_from_this<ClaimFinisher> {
 public:
  explicit ClaimFinisher(ClaimStoreDeps deps);

  void Add(ClaimFinish finish);
  // Claims that are not in their final state yet.
  size_t unfinished() const;

 private:
  using Task = std::shared_ptr<ClaimFinish>;

  // Starts queued tasks as far as limits and backoff allow.
  void Pump();
  void OnWritten(const Task& task, WriteResult result);
  void Read(const Task& task);
  void Judge(const Task& task, const KeyValue& entry);
  void WriteAt(const Task& task, Revision revision, ClaimRecord record);
  void Block(const Task& task, Revision revision);
  void Retry(const Task& task);
  void Finish(const Task& task, ClaimEvent event);
  void FinishStored(const Task& task);
  void Notify(const Task& task, ClaimEvent event);

  const ClaimStoreDeps m_deps;
  mutable std::mutex m_mutex;
  std::deque<Task> m_queue;
  size_t m_in_flight = 0;
  bool m_waiting = false;
  ClaimBackoff m_backoff{config::kClaimFinishBaseDelay,
                         config::kClaimFinishMaxDelay};
};

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_CLAIM_FINISHER_H_
