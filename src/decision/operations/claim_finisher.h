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

// A claim of this instance whose final state is still to be stored.
struct ClaimFinishTask {
  ClaimKey key;
  std::string nonce;
  // Outcome to store; its run state is kNotRun to withdraw the claim.
  OperationOutcome outcome;
  // The claim as last stored, at `revision`. Read from the platform if empty.
  std::optional<ClaimRecord> record;
  Revision revision;
  // Set if the claim was not granted but a delayed write that expects the
  // revision `late_write` may still take effect. `blocker` is written at that
  // revision so that the delayed write fails.
  std::optional<ClaimRecord> blocker;
  Revision late_write;
  uint32_t attempts = 0;
};

// Stores the final state of claims in the background. All claims share one
// backoff and a limit of concurrent calls, so that no load spike occurs at the
// end of a platform outage. Thread-safe.
class ClaimFinisher : public std::enable_shared_from_this<ClaimFinisher> {
 public:
  explicit ClaimFinisher(ClaimStoreDeps deps);

  void Add(ClaimFinishTask finish);
  // Claims whose final state is not stored yet.
  size_t unfinished() const;

 private:
  using Task = std::shared_ptr<ClaimFinishTask>;

  // Starts queued tasks as far as the call limit and the backoff allow.
  void StartQueuedTasks();
  void OnWritten(const Task& task, WriteResult result);
  void Read(const Task& task);
  void OnStoredClaim(const Task& task, const KeyValue& entry);
  void WriteAt(const Task& task, Revision revision, ClaimRecord record);
  void BlockLateWrite(const Task& task, Revision revision);
  void Retry(const Task& task);
  void Finish(const Task& task, ClaimEvent event);
  void FinishStored(const Task& task);
  void Notify(const Task& task, ClaimEvent event);

  const ClaimStoreDeps m_deps;
  mutable std::mutex m_mutex;
  std::deque<Task> m_queue;
  size_t m_in_flight = 0;
  bool m_backing_off = false;
  ClaimBackoff m_backoff{config::kClaimFinishBaseDelay,
                         config::kClaimFinishMaxDelay};
};

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_CLAIM_FINISHER_H_
