#include "decision/query/coverage_count.h"

namespace wasabihook {
namespace {

// Absorbs the rounding of a share that equals the limit exactly.
constexpr double kRoundingMargin = 1e-12;

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

bool CoverageCount::Meets(Fraction least) const {
  return share().value >= least.value - kRoundingMargin;
}

}  // namespace wasabihook
