#include "testing/load/report.h"

#include <chrono>
#include <cstdio>
#include <sstream>

namespace wasabihook::load {
namespace {

std::string Number(double value, int digits) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

// Four significant digits, without trailing zeros.
std::string Short(double value) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

std::string Ms(Duration duration) {
  return Number(std::chrono::duration<double, std::milli>(duration).count(), 1);
}

std::string Percent(double share) {
  constexpr double kPercent = 100;
  return Number(share * kPercent, 2) + " %";
}

std::string Window(const Bound& bound) {
  const auto seconds = [](Duration at) {
    return Short(std::chrono::duration<double>(at).count());
  };
  if (!bound.from && !bound.to) {
    return "";
  }
  return " (" + seconds(bound.from.value_or(Duration(0))) + " s to " +
         (bound.to ? seconds(*bound.to) + " s" : std::string("end")) + ")";
}

const RunResult* Find(const std::vector<RunResult>& all,
                      const std::string& scenario,
                      const std::string& settings) {
  for (const RunResult& result : all) {
    if (result.scenario == scenario && result.settings == settings) {
      return &result;
    }
  }
  return nullptr;
}

// The reference's figure for the bound's measure; latencies and the like come
// from the whole run, so that a reference needs no bound of its own.
std::optional<double> ReferenceValue(const Bound& bound,
                                     const RunResult& reference) {
  const Figures figures =
      ComputeFigures(reference.samples, bound.from.value_or(Duration(0)),
                     bound.to.value_or(Duration::max()));
  const auto ms = [](Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
  };
  if (bound.measure == "p50") {
    return ms(figures.p50);
  }
  if (bound.measure == "p99") {
    return ms(figures.p99);
  }
  if (bound.measure == "p999") {
    return ms(figures.p999);
  }
  if (bound.measure == "extra_load") {
    return reference.extra_load;
  }
  return std::nullopt;
}

JudgedBound Judge(const BoundValue& bound_value,
                  const RunResult& result,
                  const std::vector<RunResult>& all) {
  const Bound& bound = bound_value.bound;
  JudgedBound judged;
  judged.value = bound_value.value;
  judged.at_least = bound.at_least;
  judged.text = bound.measure + Window(bound) +
                (bound.at_least ? " >= " : " <= ") + Short(bound.limit);
  if (bound.relative_to.empty()) {
    judged.limit = bound.limit;
    return judged;
  }
  judged.text += " x " + bound.relative_to;
  const bool baseline = bound.relative_to == kBaselineSettings;
  const RunResult* reference =
      baseline ? Find(all, result.scenario, kBaselineSettings)
               : Find(all, bound.relative_to, kProductSettings);
  if (reference != nullptr) {
    if (const auto value = ReferenceValue(bound, *reference)) {
      judged.limit = bound.limit * *value;
    }
  }
  return judged;
}

std::string BoundsCell(const RunResult& result,
                       const std::vector<RunResult>& all) {
  if (result.settings != kProductSettings) {
    return "";
  }
  std::string cell;
  for (const JudgedBound& judged : JudgeBounds(result, all)) {
    cell += (cell.empty() ? "" : "; ") + judged.text;
    if (judged.limit && judged.text.find(" x ") != std::string::npos) {
      cell += " = " + Short(*judged.limit);
    }
    cell += ": " + Short(judged.value) + " ";
    cell += !judged.limit ? "not judged" : judged.met() ? "met" : "**MISSED**";
  }
  return cell;
}

}  // namespace

bool JudgedBound::met() const {
  return limit && (at_least ? value >= *limit : value <= *limit);
}

std::vector<JudgedBound> JudgeBounds(const RunResult& result,
                                     const std::vector<RunResult>& all) {
  std::vector<JudgedBound> judged;
  for (const BoundValue& bound : result.bounds) {
    judged.push_back(Judge(bound, result, all));
  }
  return judged;
}

std::string Table(const std::vector<RunResult>& results) {
  std::ostringstream out;
  out << "| scenario | settings | requests | p50 ms | p99 ms | p99.9 ms | "
         "coverage | complete | extra load | refused | errors | wrong | "
         "machine busy (own) | bounds |\n"
      << "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
         "--- | --- | --- |\n";
  for (const RunResult& result : results) {
    const Figures& figures = result.figures;
    constexpr int kLoadDigits = 3;
    out << "| " << result.scenario << " | " << result.settings << " | "
        << figures.requests << " | " << Ms(figures.p50) << " | "
        << Ms(figures.p99) << " | " << Ms(figures.p999) << " | "
        << Percent(figures.coverage) << " | " << Percent(figures.complete_share)
        << " | " << Number(result.extra_load, kLoadDigits) << " | "
        << figures.refused << " | " << figures.errors << " | " << result.wrong
        << (result.runs_checked == 0 ? " (runs not matched)" : "") << " | "
        << Number(result.busy.machine * 100, 0) << " % ("
        << Number(result.busy.own * 100, 0) << " %) | "
        << BoundsCell(result, results) << " |\n";
  }
  return out.str();
}

}  // namespace wasabihook::load
