#ifndef SRC_DECISION_QUERY_COVERAGE_COUNT_H_
#define SRC_DECISION_QUERY_COVERAGE_COUNT_H_

#include <cstdint>

#include "wasabihook/units.h"

namespace wasabihook {

// Running totals of the groups and records that a query has covered.
struct CoverageCount {
  uint32_t groups_asked = 0;
  uint32_t groups_covered = 0;
  uint64_t records_asked = 0;
  uint64_t records_covered = 0;

  bool complete() const { return groups_covered == groups_asked; }
  // Fraction of the records covered, or of the groups if there are no records.
  Fraction share() const;
  bool Meets(Fraction min_coverage) const;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_COVERAGE_COUNT_H_
