#include "gateway/connection_warmer.h"

#include <algorithm>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

std::vector<ServerId> ConnectionWarmer::Select(
    const std::vector<ServerId>& cold,
    TimePoint now) {
  std::vector<ServerId> out;
  for (const ServerId& id : cold) {
    if (out.size() == kWarmConnectionsPerStep)
      break;
    Next& next = m_next_at[id];
    if (now < next.at)
      continue;
    next.delay = std::clamp(next.delay * 2, kMinWarmInterval, kMaxWarmInterval);
    next.at = now + next.delay;
    out.push_back(id);
  }
  return out;
}

}  // namespace wasabihook::gateway
