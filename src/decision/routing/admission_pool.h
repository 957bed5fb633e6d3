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

// A decision whose callback is invoked after the pool's lock is released.
struct AdmissionDecision {
  AdmissionController::Callback done;
  AdmissionResult result = AdmissionResult::kAdmitted;
};
using AdmissionDecisions = std::vector<AdmissionDecision>;

// Admission control for one pool: an adaptive concurrency limit and a bounded
// queue for each team, with weighted fair queueing between teams. Not
// thread-safe; the caller holds a lock and passes the current time.
class AdmissionPool {
 public:
  // Returned by Request() for a request that was queued.
  struct QueueEntry {
    uint64_t ticket = 0;
    // The request is refused if it has not started by then, because it could no
    // longer meet its deadline or has reached the maximum queueing delay.
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
  // Refuses the request `ticket` if it is still queued.
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
    // Result if the request has not started by its latest start time.
    AdmissionResult refusal = AdmissionResult::kQueueFull;
    AdmissionController::Callback done;
  };
  struct Team {
    double weight = 1;
    uint32_t running = 0;
    std::deque<QueuedRequest> queue;
    // Service time received divided by weight, in microseconds (start-time fair
    // queueing).
    double virtual_time = 0;
    // Estimated service time in microseconds already charged for running
    // requests; replaced by the actual time when they finish.
    double charge_in_advance = 0;
    // Last time at which the oldest queued request had waited for less than
    // kQueueDelayTarget.
    TimePoint last_wait_below_target;
    // Last refusal because of the maximum queueing delay. The queue is treated
    // as a standing queue for kQueueDelayInterval after it, so that later
    // refusals come within kQueueDelayTarget.
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
