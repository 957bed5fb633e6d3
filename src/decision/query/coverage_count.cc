#include "decision/query/coverage_count.h"

namespace wasabihook {
namespace {

// Tolerance for floating-point rounding when the share equals the limit.
constexpr double kRoundingTolerance = 1e-12;

}  // namespace

Fraction CoverageCount::share() const {
  if (records_asked > 0) {
    return {static_cast<double>(records_covered) /
            static_cast<double>(records_asked)};
  }
  return {groups_asked == 0 ? 0.0
                            : static_cast<double>(groups_covered) /
                                  static_cast<double>(groups_asked)};
}

bool CoverageCount::Meets(Fraction min_coverage) const {
  return share().value >= min_coverage.value - kRoundingTolerance;
}

}  // namespace wasabihook
