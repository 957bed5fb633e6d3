#ifndef SRC_RUNTIME_LOGGING_H_
#define SRC_RUNTIME_LOGGING_H_

// PRIVATE HEADER. Structured log: one JSON object per line, written by spdlog.
//
// Fields contain ids, counts, durations and reasons, never caller data
// (payloads, record keys, idempotency keys or rows).

#include <spdlog/common.h>

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "wasabihook/ids.h"

namespace wasabihook {

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

struct LogField {
  std::string_view name;
  nlohmann::json value;
};

// Writes {"time","level","event",...fields}. `event` is a stable snake_case
// name. Thread-safe.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});
// Also writes "request_id", for events that belong to one request.
void Log(LogLevel level,
         std::string_view event,
         const RequestId& request,
         std::initializer_list<LogField> fields = {});

// Minimum level that is written; kInfo by default.
void SetLogLevel(LogLevel level);
// Accepts "debug", "info", "warning" and "error"; throws std::invalid_argument
// for other names.
LogLevel ParseLogLevel(std::string_view name);
// Replaces the default sink, standard error. Must not be called while other
// threads log.
void SetLogSink(spdlog::sink_ptr sink);
void FlushLog();

}  // namespace wasabihook

#endif  // SRC_RUNTIME_LOGGING_H_
