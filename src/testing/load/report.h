#ifndef SRC_TESTING_LOAD_REPORT_H_
#define SRC_TESTING_LOAD_REPORT_H_

// PRIVATE HEADER. Report on all runs of one results directory.

#include <optional>
#include <string>
#include <vector>

#include "testing/load/run_result.h"

namespace wasabihook::load {

// Names of the settings files that bounds refer to.
inline constexpr char kProductSettings[] = "product";
inline constexpr char kBaselineSettings[] = "baseline";

// A bound with its limit resolved to an absolute value.
struct EvaluatedBound {
  std::string text;  // "p99 <= 0.35 x baseline"
  double value = 0;
  std::optional<double> limit;  // Empty if the reference run is absent.
  bool met() const;
  bool at_least = false;
};

// Evaluates the bounds of `result`; relative limits refer to runs in `all`.
std::vector<EvaluatedBound> EvaluateBounds(const RunResult& result,
                                           const std::vector<RunResult>& all);

// Markdown table with one row for each run; product runs also list their
// bounds.
std::string MarkdownTable(const std::vector<RunResult>& results);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_REPORT_H_
