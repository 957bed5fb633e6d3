#ifndef SRC_GATEWAY_GATEWAY_CONTEXT_H_
#define SRC_GATEWAY_GATEWAY_CONTEXT_H_

// PRIVATE HEADER. Objects shared by the components of one gateway.

#include <memory>
#include <optional>

#include "gateway/admission/fair_shares.h"
#include "gateway/admission/team_demand.h"
#include "gateway/allowance/allowance_marks.h"
#include "gateway/answers/answer_margin.h"
#include "gateway/capacity/server_paces.h"
#include "gateway/crash_alert.h"
#include "gateway/evacuation/evacuations.h"
#include "gateway/event_loop.h"
#include "gateway/gateway_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/http_message.h"
#include "gateway/leaving_servers.h"
#include "gateway/platform_adapter.h"
#include "gateway/request_quarantine.h"
#include "gateway/server_limits.h"
#include "gateway/server_observations.h"
#include "wasabihook/random_source.h"

namespace wasabihook::gateway {

// Passed to the components of one gateway. The objects outlive the components.
struct GatewayContext {
  EventLoop* loop = nullptr;
  const PlatformAdapter* platform = nullptr;
  const GatewaySettings* settings = nullptr;
  GatewayMetrics* metrics = nullptr;
  GatewayLog* log = nullptr;
  // Bytes of the replies that are being received from backend servers.
  // Shared with the connections, some of which the loop destroys last.
  std::shared_ptr<BufferedBytes> reply_bytes{};
  ServerObserver* observer = nullptr;
  RequestQuarantine* quarantine = nullptr;
  CrashAlert* crash_alert = nullptr;
  ServerLimits* limits = nullptr;
  LeavingServers* leaving = nullptr;
  TeamDemand* team_demand = nullptr;
  FairShares* fair_shares = nullptr;
  ServerPaces* paces = nullptr;
  Evacuations* evacuations = nullptr;
  AllowanceMarks* allowance_marks = nullptr;
  AnswerMargin* answer_margin = nullptr;
  // While the instance drains: time by which every request must be answered.
  std::optional<TimePoint> answer_by{};
  RandomSource random;

  // Uniformly distributed in [0, 1).
  double Uniform() const {
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
    return static_cast<double>(random() >> 11) * kScale;
  }
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_GATEWAY_CONTEXT_H_
