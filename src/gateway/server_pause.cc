#include "gateway/server_pause.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

std::optional<Duration> ParseSeconds(std::string_view text) {
  double seconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error == std::errc::result_out_of_range) {
    // Too large for the type, or too close to zero.
    const bool large = text.front() >= '1' && text.front() <= '9' &&
                       text.find('-') == std::string_view::npos;
    seconds = large ? HUGE_VAL : 0;
  } else if (error != std::errc()) {
    return std::nullopt;
  }
  if (end != text.data() + text.size() || std::isnan(seconds) || seconds <= 0)
    return std::nullopt;
  const double longest =
      static_cast<double>(kMaxServerPause.count()) / kMicrosecondsPerSecond;
  return Duration(static_cast<int64_t>(std::min(seconds, longest) *
                                       kMicrosecondsPerSecond));
}

}  // namespace

std::optional<Duration> ParsePause(
    const std::vector<std::string_view>& values) {
  std::optional<Duration> out;
  for (const std::string_view value : values) {
    if (const auto pause = ParseSeconds(value))
      out = std::max(out.value_or(Duration(0)), *pause);
  }
  return out;
}

double ShareAfterPause(TimePoint end, TimePoint now) {
  const double elapsed = static_cast<double>((now - end).count()) /
                         static_cast<double>(kPauseRecovery.count());
  return std::clamp(
      kFirstShareAfterPause + (1 - kFirstShareAfterPause) * elapsed, 0.0, 1.0);
}

std::optional<Duration> TimeUntilServable(std::vector<TimePoint> ends,
                                          size_t missing,
                                          TimePoint now) {
  if (missing == 0 || ends.size() < missing)
    return std::nullopt;
  const auto last = ends.begin() + static_cast<ptrdiff_t>(missing) - 1;
  std::nth_element(ends.begin(), last, ends.end());
  return std::max(*last - now, Duration(0));
}

}  // namespace wasabihook::gateway
