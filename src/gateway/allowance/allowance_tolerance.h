#ifndef SRC_GATEWAY_ALLOWANCE_ALLOWANCE_TOLERANCE_H_
#define SRC_GATEWAY_ALLOWANCE_ALLOWANCE_TOLERANCE_H_

// PRIVATE HEADER.

#include "gateway/gateway_settings.h"
#include "gateway/platform_adapter.h"

namespace wasabihook::gateway {

// Requests in a window that servers may run beyond an allowance.
inline double AllowanceTolerance(const Allowance& allowance,
                                 const ServiceBounds& bounds) {
  const double window_s =
      std::chrono::duration<double>(bounds.allowance_window).count();
  return bounds.allowance_overage *
             (allowance.rate * window_s + allowance.burst) +
         bounds.allowance_slack;
}

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ALLOWANCE_ALLOWANCE_TOLERANCE_H_
