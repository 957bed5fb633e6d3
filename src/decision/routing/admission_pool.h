#ifndef SRC_DECISION_ROUTING_ADMISSION_POOL_H_
#define SRC_DECISION_ROUTING_ADMISSION_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "decision/routing/admission_controller.h"
#include "decision/routing/service_time_estimate.h"
#include "wasabihook/config.h"

namespace wasabihook {

// A decision to be reported once no lock is held.
struct AdmissionDecision {
  AdmissionController::Callback done;
  AdmissionResult result = AdmissionResult::kAdmitted;
};
using AdmissionDecisions = std::vector<AdmissionDecision>;

// Admission of one pool: an adaptive limit, a bounded queue for each team and
// weighted fair sharing between them. Not thread-safe; the caller locks it and
// passes the time.
class AdmissionPool {
 public:
  // Result of Request(): set if the request was queued.
  struct QueueEntry {
    uint64_t ticket = 0;
    // The request is refused if it has not started by then: it could no longer
    // finish in time, or it has waited for longer than the queue may hold it.
    TimePoint latest_start;
  };

  std::optional<QueueEntry> Request(AdmissionRequest request,
                                    AdmissionController::Callback done,
                                    TimePoint now,
                                    AdmissionDecisions* decisions);
  void Release(const TeamId& team,
               Duration latency,
               bool overloaded,
               TimePoint now,
               AdmissionDecisions* decisions);
  void SetCapacity(uint32_t requests,
                   TimePoint now,
                   AdmissionDecisions* decisions);
  // Refuses the queued request `ticket` if it still waits.
  void Expire(const TeamId& team,
              uint64_t ticket,
              TimePoint now,
              AdmissionDecisions* decisions);

  uint32_t running() const { return m_running; }
  uint32_t limit() const;

 private:
  struct QueuedRequest {
    uint64_t ticket = 0;
    TimePoint queued_at;
    TimePoint deadline;
    // Result if the request does not start in time.
    AdmissionResult refusal = AdmissionResult::kQueueFull;
    AdmissionController::Callback done;
  };
  struct Team {
    double weight = 1;
    uint32_t running = 0;
    std::deque<QueuedRequest> queue;
    // Service received per weight, in microseconds (start-time fair queueing).
    double virtual_time = 0;
    // Service charged in advance for running requests.
    double charge_in_advance = 0;
    // Last time at which the oldest request had waited less than the target.
    TimePoint last_wait_below_target;
    // Last refusal for a wait above the limit; the queue counts as standing for
    // an interval after it, so that later refusals come within the target.
    std::optional<TimePoint> last_wait_refusal;
  };

  Team& ActivateTeam(const AdmissionRequest& request, TimePoint now);
  Duration EstimatedWait(const Team& team, TimePoint now) const;
  bool HasStandingQueue(const Team& team, TimePoint now) const;
  void StartRequest(Team& team);
  void FinishRequest(Team& team, Duration latency);
  void AdaptLimit(Duration latency, bool overloaded, TimePoint now);
  void Dispatch(TimePoint now, AdmissionDecisions* decisions);
  Team* NextTeam();
  QueuedRequest PopRequest(Team& team, TimePoint now);

  std::map<TeamId, Team> m_teams;
  ServiceTimeEstimate m_service;
  uint32_t m_running = 0;
  uint64_t m_next_ticket = 1;
  double m_virtual_time = 0;
  double m_capacity = config::kInitialPoolCapacity;
  double m_limit = config::kInitialPoolCapacity;
  TimePoint m_last_decrease;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_ADMISSION_POOL_H_
