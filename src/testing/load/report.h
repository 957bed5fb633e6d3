#ifndef SRC_TESTING_LOAD_REPORT_H_
#define SRC_TESTING_LOAD_REPORT_H_

// PRIVATE HEADER. Table of all runs of one invocation.

#include <optional>
#include <string>
#include <vector>

#include "testing/load/run_result.h"

namespace wasabihook::load {

// Names of the settings files that bounds refer to.
inline constexpr char kProductSettings[] = "product";
inline constexpr char kBaselineSettings[] = "baseline";

// A bound of a product run with its limit worked out.
struct EvaluatedBound {
  std::string text;  // "p99 <= 0.35 x baseline"
  double value = 0;
  std::optional<double> limit;  // Empty if the run it refers to is absent.
  bool met() const;
  bool at_least = false;
};

// Bounds of `result`, with those relative to other runs taken from `all`.
std::vector<EvaluatedBound> EvaluateBounds(const RunResult& result,
                                           const std::vector<RunResult>& all);

// Markdown table, one row for each run and its bounds beside the product's.
std::string MarkdownTable(const std::vector<RunResult>& results);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_REPORT_H_
