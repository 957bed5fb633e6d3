#include "gateway/gateway_log.h"

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

void GatewayLog::Write(LogLevel level,
                       std::string_view event,
                       std::initializer_list<LogField> fields) {
  const TimePoint now = m_timers->Now();
  auto found = m_buckets.find(event);
  if (found == m_buckets.end()) {
    found = m_buckets
                .emplace(std::string(event),
                         Bucket{.tokens = kLogBurst, .filled_at = now})
                .first;
  }
  Bucket& bucket = found->second;
  const double seconds =
      static_cast<double>((now - bucket.filled_at).count()) / 1e6;
  bucket.tokens =
      std::min(kLogBurst, bucket.tokens + seconds * kLogLinesPerSecond);
  bucket.filled_at = now;
  if (bucket.tokens < 1) {
    ++bucket.dropped;
    ++m_dropped;
    return;
  }
  bucket.tokens -= 1;
  if (bucket.dropped > 0) {
    Log(LogLevel::kWarning, "log_lines_dropped",
        {{"of_event", std::string(event)}, {"count", bucket.dropped}});
    bucket.dropped = 0;
  }
  Log(level, event, fields);
}

}  // namespace wasabihook::gateway
