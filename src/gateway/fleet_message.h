#ifndef SRC_GATEWAY_FLEET_MESSAGE_H_
#define SRC_GATEWAY_FLEET_MESSAGE_H_

// PRIVATE HEADER. Message between instances, encoded as MessagePack.

#include <string>
#include <string_view>
#include <vector>

#include "gateway/admission/team_demand.h"
#include "gateway/allowance/allowance_marks.h"
#include "gateway/capacity/server_paces.h"
#include "gateway/leaving_servers.h"
#include "gateway/request_quarantine.h"
#include "gateway/server_limits.h"
#include "gateway/server_observations.h"

namespace wasabihook::gateway {

struct FleetMessage {
  // The sender knows nothing yet, or has been out of contact: it asks for all
  // that the receiver knows rather than for what is new.
  bool wants_all = false;
  ObservationDigest observations;
  DemandDigest demand;
  CrashNews crash_news;
  std::vector<LimitStatement> limits;
  std::vector<LeavingStatement> leaving;
  std::vector<AllowanceMark> allowance_marks;
  TeamDemandDigest team_demand;
  PaceDigest paces;
};

// Times are sent as ages, since the clocks of instances differ.
std::string EncodeFleetMessage(const FleetMessage& message, TimePoint now);
// Throws an exception derived from std::exception if `text` is malformed.
FleetMessage DecodeFleetMessage(std::string_view text, TimePoint now);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_FLEET_MESSAGE_H_
