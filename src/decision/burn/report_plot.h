#ifndef SRC_DECISION_BURN_REPORT_PLOT_H_
#define SRC_DECISION_BURN_REPORT_PLOT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace wasabihook {

// Line of a plot. The CSS class selects its colour.
struct PlotLine {
  std::string label;
  std::string css_class;
  std::vector<std::pair<int64_t, double>> points;  // Minute and value.
};

// Horizontal line, such as an objective.
struct PlotLimit {
  std::string label;
  double value = 0;
};

// Plot over time with a logarithmic value axis.
struct Plot {
  std::string title;
  std::string unit;
  int64_t from_minute = 0;
  int64_t until_minute = 0;
  // Points further apart are not connected, since there are no counts between
  // them.
  int64_t step_minutes = 5;
  // Lower bound of the value axis; smaller values are drawn there.
  double min_value = 0.01;
  std::vector<PlotLine> lines;
  std::vector<PlotLimit> limits;
};

std::string EscapeHtml(const std::string& text);

// Returns an <svg> element.
std::string RenderPlot(const Plot& plot);

}  // namespace wasabihook

#endif  // SRC_DECISION_BURN_REPORT_PLOT_H_
