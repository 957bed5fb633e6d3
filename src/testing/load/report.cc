#include "testing/load/report.h"

#include <chrono>
#include <cstdio>
#include <sstream>

namespace wasabihook::load {
namespace {

std::string FormatFixed(double value, int digits) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

// Formats with four significant digits, without trailing zeros.
std::string FormatSignificant(double value) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

std::string Ms(Duration duration) {
  return FormatFixed(
      std::chrono::duration<double, std::milli>(duration).count(), 1);
}

std::string Percent(double share) {
  constexpr double kPercent = 100;
  return FormatFixed(share * kPercent, 2) + " %";
}

std::string Window(const Bound& bound) {
  const auto seconds = [](Duration at) {
    return FormatSignificant(std::chrono::duration<double>(at).count());
  };
  if (!bound.from && !bound.to) {
    return "";
  }
  return " (" + seconds(bound.from.value_or(Duration(0))) + " s to " +
         (bound.to ? seconds(*bound.to) + " s" : std::string("end")) + ")";
}

const RunResult* FindRun(const std::vector<RunResult>& all,
                         const std::string& scenario,
                         const std::string& settings) {
  for (const RunResult& result : all) {
    if (result.scenario == scenario && result.settings == settings) {
      return &result;
    }
  }
  return nullptr;
}

// Value of the bound's measure in the reference run. It is computed from the
// samples, so that the reference run needs no bound of the same measure.
std::optional<double> ReferenceValue(const Bound& bound,
                                     const RunResult& reference) {
  const RunStatistics statistics =
      ComputeStatistics(reference.samples, bound.from.value_or(Duration(0)),
                        bound.to.value_or(Duration::max()));
  const auto ms = [](Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
  };
  if (bound.measure == "p50") {
    return ms(statistics.p50);
  }
  if (bound.measure == "p99") {
    return ms(statistics.p99);
  }
  if (bound.measure == "p999") {
    return ms(statistics.p999);
  }
  if (bound.measure == "extra_load") {
    return reference.extra_load;
  }
  return std::nullopt;
}

EvaluatedBound EvaluateBound(const BoundValue& bound_value,
                             const RunResult& result,
                             const std::vector<RunResult>& all) {
  const Bound& bound = bound_value.bound;
  EvaluatedBound evaluated;
  evaluated.value = bound_value.value;
  evaluated.at_least = bound.at_least;
  evaluated.text = bound.measure + Window(bound) +
                   (bound.at_least ? " >= " : " <= ") +
                   FormatSignificant(bound.limit);
  if (bound.relative_to.empty()) {
    evaluated.limit = bound.limit;
    return evaluated;
  }
  evaluated.text += " x " + bound.relative_to;
  const bool baseline = bound.relative_to == kBaselineSettings;
  const RunResult* reference =
      baseline ? FindRun(all, result.scenario, kBaselineSettings)
               : FindRun(all, bound.relative_to, kProductSettings);
  if (reference != nullptr) {
    if (const auto value = ReferenceValue(bound, *reference)) {
      evaluated.limit = bound.limit * *value;
    }
  }
  return evaluated;
}

std::string BoundsCell(const RunResult& result,
                       const std::vector<RunResult>& all) {
  if (result.settings != kProductSettings) {
    return "";
  }
  std::string cell;
  for (const EvaluatedBound& evaluated : EvaluateBounds(result, all)) {
    cell += (cell.empty() ? "" : "; ") + evaluated.text;
    if (evaluated.limit && evaluated.text.find(" x ") != std::string::npos) {
      cell += " = " + FormatSignificant(*evaluated.limit);
    }
    cell += ": " + FormatSignificant(evaluated.value) + " ";
    cell += !evaluated.limit  ? "not judged"
            : evaluated.met() ? "met"
                              : "**MISSED**";
  }
  return cell;
}

}  // namespace

bool EvaluatedBound::met() const {
  return limit && (at_least ? value >= *limit : value <= *limit);
}

std::vector<EvaluatedBound> EvaluateBounds(const RunResult& result,
                                           const std::vector<RunResult>& all) {
  std::vector<EvaluatedBound> evaluated;
  for (const BoundValue& bound : result.bounds) {
    evaluated.push_back(EvaluateBound(bound, result, all));
  }
  return evaluated;
}

std::string MarkdownTable(const std::vector<RunResult>& results) {
  std::ostringstream out;
  out << "| scenario | settings | requests | p50 ms | p99 ms | p99.9 ms | "
         "coverage | complete | extra load | refused | errors | wrong | "
         "machine busy (own) | bounds |\n"
      << "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
         "--- | --- | --- |\n";
  for (const RunResult& result : results) {
    const RunStatistics& statistics = result.statistics;
    constexpr int kLoadDigits = 3;
    out << "| " << result.scenario << " | " << result.settings << " | "
        << statistics.requests << " | " << Ms(statistics.p50) << " | "
        << Ms(statistics.p99) << " | " << Ms(statistics.p999) << " | "
        << Percent(statistics.coverage) << " | "
        << Percent(statistics.complete_share) << " | "
        << FormatFixed(result.extra_load, kLoadDigits) << " | "
        << statistics.refused << " | " << statistics.errors << " | "
        << result.wrong
        << (result.runs_checked == 0 ? " (runs not matched)" : "") << " | "
        << FormatFixed(result.busy.machine * 100, 0) << " % ("
        << FormatFixed(result.busy.own * 100, 0) << " %) | "
        << BoundsCell(result, results) << " |\n";
  }
  return out.str();
}

}  // namespace wasabihook::load
