#include "runtime/logging.h"

#include <spdlog/formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <ctime>
#include <memory>
#include <stdexcept>
#include <utility>

namespace wasabihook {
namespace {

// Invalid UTF-8 is replaced, so that a line is always valid JSON.
std::string Dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string UtcTime(std::chrono::system_clock::time_point time) {
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
      time.time_since_epoch());
  const std::time_t seconds = millis.count() / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const size_t length = strftime(text, sizeof(text), "%FT%T", &parts);
  return fmt::format("{}.{:03}Z", std::string_view(text, length),
                     millis.count() % 1000);
}

std::string_view LevelName(spdlog::level::level_enum level) {
  if (level <= spdlog::level::debug)
    return "debug";
  if (level == spdlog::level::info)
    return "info";
  return level == spdlog::level::warn ? "warning" : "error";
}

// The message payload contains the members of the JSON object from "event" on.
class JsonLineFormatter : public spdlog::formatter {
 public:
  void format(const spdlog::details::log_msg& message,
              spdlog::memory_buf_t& out) override {
    fmt::format_to(
        std::back_inserter(out),
        R"({{"time":"{}","level":"{}",{}}})"
        "\n",
        UtcTime(message.time), LevelName(message.level),
        std::string_view(message.payload.data(), message.payload.size()));
  }
  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<JsonLineFormatter>();
  }
};

std::shared_ptr<spdlog::logger> MakeLogger(const spdlog::sink_ptr& sink) {
  auto logger = std::make_shared<spdlog::logger>("wasabihook", sink);
  logger->set_formatter(std::make_unique<JsonLineFormatter>());
  logger->flush_on(spdlog::level::info);
  return logger;
}

std::shared_ptr<spdlog::logger>& Logger() {
  static std::shared_ptr<spdlog::logger> logger =
      MakeLogger(std::make_shared<spdlog::sinks::stderr_sink_mt>());
  return logger;
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

void Write(LogLevel level,
           std::string_view event,
           const RequestId* request,
           std::initializer_list<LogField> fields) {
  spdlog::logger& logger = *Logger();
  if (!logger.should_log(ToSpdlog(level)))
    return;
  std::string line = "\"event\":" + Dump(event);
  if (request != nullptr)
    line += ",\"request_id\":" + Dump(request->value());
  for (const LogField& field : fields)
    line += "," + Dump(field.name) + ":" + Dump(field.value);
  logger.log(ToSpdlog(level), spdlog::string_view_t(line));
}

}  // namespace

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  Write(level, event, nullptr, fields);
}

void Log(LogLevel level,
         std::string_view event,
         const RequestId& request,
         std::initializer_list<LogField> fields) {
  Write(level, event, &request, fields);
}

void SetLogLevel(LogLevel level) {
  Logger()->set_level(ToSpdlog(level));
}

LogLevel ParseLogLevel(std::string_view name) {
  for (const auto& [known, level] : {std::pair{"debug", LogLevel::kDebug},
                                     {"info", LogLevel::kInfo},
                                     {"warning", LogLevel::kWarning},
                                     {"error", LogLevel::kError}}) {
    if (name == known)
      return level;
  }
  throw std::invalid_argument("unknown log level: " + std::string(name));
}

void SetLogSink(spdlog::sink_ptr sink) {
  const auto level = Logger()->level();
  Logger() = MakeLogger(sink);
  Logger()->set_level(level);
}

void FlushLog() {
  Logger()->flush();
}

}  // namespace wasabihook
