#include "testing/load/quantiles.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace wasabihook::load {

Duration Quantile(std::vector<Duration> values, double quantile) {
  if (values.empty()) {
    return Duration(0);
  }
  // Keeps floating-point error from rounding 0.99 * 100 up to rank 100.
  constexpr double kRoundingMargin = 1e-9;
  const auto size = static_cast<double>(values.size());
  const auto rank = static_cast<size_t>(
      std::clamp(std::ceil(quantile * size - kRoundingMargin), 1.0, size));
  auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank - 1);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

}  // namespace wasabihook::load
