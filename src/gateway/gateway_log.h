#ifndef SRC_GATEWAY_GATEWAY_LOG_H_
#define SRC_GATEWAY_GATEWAY_LOG_H_

// PRIVATE HEADER. Rate-limited log of the gateway.

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

#include "runtime/logging.h"
#include "wasabihook/timer_service.h"

namespace wasabihook::gateway {

// Structured log with a token bucket for each event, so that a burst of one
// event cannot flood the log. If lines of an event were dropped, its next line
// is preceded by one that states their number.
class GatewayLog {
 public:
  explicit GatewayLog(const TimerService* timers) : m_timers(timers) {}

  void Info(std::string_view event, std::initializer_list<LogField> fields) {
    Write(LogLevel::kInfo, event, fields);
  }
  void Warning(std::string_view event, std::initializer_list<LogField> fields) {
    Write(LogLevel::kWarning, event, fields);
  }
  uint64_t dropped() const { return m_dropped; }

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled_at;
    uint64_t dropped = 0;
  };

  void Write(LogLevel level,
             std::string_view event,
             std::initializer_list<LogField> fields);

  const TimerService* const m_timers;
  std::map<std::string, Bucket, std::less<>> m_buckets;
  uint64_t m_dropped = 0;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_GATEWAY_LOG_H_
