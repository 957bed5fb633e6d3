#include "decision/burn/report_plot.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <iterator>

namespace wasabihook {
namespace {

// Sizes in SVG user units.
constexpr double kWidth = 560;
constexpr double kHeight = 230;
constexpr double kLeft = 52;
constexpr double kRight = 84;
constexpr double kTop = 26;
constexpr double kBottom = 24;
constexpr double kLabelHeight = 13;

using Output = std::back_insert_iterator<std::string>;

// Maps minutes and values to user units.
class Scale {
 public:
  explicit Scale(const Plot& plot)
      : m_from(plot.from_minute),
        m_until(std::max(plot.until_minute, plot.from_minute + 1)),
        m_min_value(plot.min_value) {
    double max_value = plot.min_value * 10;
    for (const PlotLimit& limit : plot.limits) {
      max_value = std::max(max_value, limit.value);
    }
    for (const PlotLine& line : plot.lines) {
      for (const auto& [minute, value] : line.points) {
        max_value = std::max(max_value, value);
      }
    }
    m_min_exponent = std::floor(std::log10(m_min_value));
    m_max_exponent =
        std::max(std::ceil(std::log10(max_value * 1.05)), m_min_exponent + 1);
  }

  double X(int64_t minute) const {
    return kLeft + (kWidth - kLeft - kRight) *
                       static_cast<double>(minute - m_from) /
                       static_cast<double>(m_until - m_from);
  }
  double Y(double value) const {
    const double exponent = std::log10(std::max(value, m_min_value));
    return kTop + (kHeight - kTop - kBottom) * (m_max_exponent - exponent) /
                      (m_max_exponent - m_min_exponent);
  }
  int min_exponent() const { return static_cast<int>(m_min_exponent); }
  int max_exponent() const { return static_cast<int>(m_max_exponent); }

 private:
  int64_t m_from;
  int64_t m_until;
  double m_min_value;
  double m_min_exponent = 0;
  double m_max_exponent = 1;
};

std::string TimeLabel(int64_t minute, bool with_day) {
  const std::time_t seconds = minute * 60;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  return with_day ? fmt::format("{:02}-{:02} {:02}:00", utc.tm_mon + 1,
                                utc.tm_mday, utc.tm_hour)
                  : fmt::format("{:02}:{:02}", utc.tm_hour, utc.tm_min);
}

void RenderAxes(const Plot& plot, const Scale& scale, Output out) {
  fmt::format_to(out, "<text class='title' x='0' y='12'>{}</text>",
                 EscapeHtml(plot.title));
  for (int exponent = scale.min_exponent(); exponent <= scale.max_exponent();
       ++exponent) {
    const double value = std::pow(10, exponent);
    const double y = scale.Y(value);
    fmt::format_to(out,
                   "<line class='grid' x1='{:.1f}' x2='{:.1f}' y1='{:.1f}' "
                   "y2='{:.1f}'/><text class='tick' text-anchor='end' "
                   "x='{:.1f}' y='{:.1f}'>{:g}{}</text>",
                   kLeft, kWidth - kRight, y, y, kLeft - 6, y + 4, value,
                   EscapeHtml(plot.unit));
  }
  const int64_t length = plot.until_minute - plot.from_minute;
  const bool is_long = length > int64_t{24} * 60;
  const int64_t step = is_long ? 720 : 60;
  // In a long plot, labels on every grid line would overlap.
  const int64_t label_step = is_long ? 2 * step : step;
  for (int64_t minute = (plot.from_minute / step + 1) * step;
       minute < plot.until_minute; minute += step) {
    const double x = scale.X(minute);
    fmt::format_to(out,
                   "<line class='grid' x1='{0:.1f}' x2='{0:.1f}' y1='{1:.1f}' "
                   "y2='{2:.1f}'/>",
                   x, kTop, kHeight - kBottom);
    if (minute % label_step == 0) {
      fmt::format_to(out,
                     "<text class='tick' text-anchor='middle' x='{:.1f}' "
                     "y='{:.1f}'>{}</text>",
                     x, kHeight - 8, TimeLabel(minute, is_long));
    }
  }
}

void RenderLimits(const Plot& plot, const Scale& scale, Output out) {
  for (const PlotLimit& limit : plot.limits) {
    fmt::format_to(out,
                   "<line class='limit' x1='{0:.1f}' x2='{1:.1f}' y1='{2:.1f}' "
                   "y2='{2:.1f}'/><text class='tick limit-label' x='{3:.1f}' "
                   "y='{4:.1f}'>{5}</text>",
                   kLeft, kWidth - kRight, scale.Y(limit.value), kLeft + 4,
                   scale.Y(limit.value) - 4, EscapeHtml(limit.label));
  }
}

void RenderLine(const Plot& plot,
                const PlotLine& line,
                const Scale& scale,
                Output out) {
  std::string path;
  int64_t previous = 0;
  for (const auto& [minute, value] : line.points) {
    const bool joined = !path.empty() && minute - previous <= plot.step_minutes;
    // The short stroke makes a point without neighbours visible.
    fmt::format_to(std::back_inserter(path), "{}{:.1f} {:.1f}h0.1",
                   joined ? "L" : "M", scale.X(minute), scale.Y(value));
    previous = minute;
  }
  fmt::format_to(out, "<path class='{}' d='{}'/>", line.css_class, path);
}

// Labels each line at its last point; shifts labels that would overlap.
void RenderLabels(const Plot& plot, const Scale& scale, Output out) {
  std::vector<std::pair<double, const PlotLine*>> labels;
  for (const PlotLine& line : plot.lines) {
    if (!line.points.empty()) {
      labels.emplace_back(scale.Y(line.points.back().second) + 4, &line);
    }
  }
  std::sort(labels.begin(), labels.end());
  const double lowest = kHeight - kBottom + 4;
  for (size_t i = 1; i < labels.size(); ++i) {
    labels[i].first =
        std::max(labels[i].first, labels[i - 1].first + kLabelHeight);
  }
  for (size_t i = labels.size(); i > 0; --i) {
    const double limit =
        i == labels.size() ? lowest : labels[i].first - kLabelHeight;
    labels[i - 1].first = std::min(labels[i - 1].first, limit);
  }
  for (const auto& [y, line] : labels) {
    fmt::format_to(
        out, "<text class='label {}' x='{:.1f}' y='{:.1f}'>{}</text>",
        line->css_class, kWidth - kRight + 6, y, EscapeHtml(line->label));
  }
}

}  // namespace

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string RenderPlot(const Plot& plot) {
  const Scale scale(plot);
  std::string svg;
  const Output out = std::back_inserter(svg);
  fmt::format_to(out, "<svg viewBox='0 0 {} {}' role='img' aria-label='{}'>",
                 kWidth, kHeight, EscapeHtml(plot.title));
  RenderAxes(plot, scale, out);
  RenderLimits(plot, scale, out);
  for (const PlotLine& line : plot.lines) {
    RenderLine(plot, line, scale, out);
  }
  RenderLabels(plot, scale, out);
  svg += "</svg>";
  return svg;
}

}  // namespace wasabihook
