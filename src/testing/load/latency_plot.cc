#include "testing/load/latency_plot.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <map>
#include <sstream>

#include "testing/load/quantiles.h"

namespace wasabihook::load {
namespace {

constexpr double kWidth = 800;
constexpr double kHeight = 400;
constexpr double kMargin = 60;
constexpr double kBinSeconds = 0.5;
constexpr double kMinMs = 1;
constexpr double kMaxMs = 10000;
constexpr std::array<const char*, 6> kColours = {
    "#1f77b4", "#d62728", "#2ca02c", "#ff7f0e", "#9467bd", "#8c564b"};

struct Axes {
  double from = 0;
  double to = 1;

  double X(double seconds) const {
    return kMargin + (seconds - from) / (to - from) * (kWidth - 2 * kMargin);
  }
  static double Y(double ms) {
    const double share = std::log(std::clamp(ms, kMinMs, kMaxMs) / kMinMs) /
                         std::log(kMaxMs / kMinMs);
    return kHeight - kMargin - share * (kHeight - 2 * kMargin);
  }
};

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::map<int, std::vector<Duration>> LatencyBins(const RunResult& run) {
  std::map<int, std::vector<Duration>> bins;
  for (const Sample& sample : run.samples) {
    bins[static_cast<int>(std::floor(Seconds(sample.at) / kBinSeconds))]
        .push_back(sample.latency);
  }
  return bins;
}

std::string Polyline(const Axes& axes,
                     const std::map<int, std::vector<Duration>>& bins,
                     double quantile,
                     const char* colour,
                     double width) {
  std::ostringstream out;
  out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\""
      << width << "\" points=\"";
  for (const auto& [bin, latencies] : bins) {
    constexpr double kMsPerSecond = 1000;
    const double ms = Seconds(Quantile(latencies, quantile)) * kMsPerSecond;
    out << axes.X((bin + 0.5) * kBinSeconds) << "," << Axes::Y(ms) << " ";
  }
  out << "\"/>\n";
  return out.str();
}

std::string GridLines(const Axes& axes) {
  std::ostringstream out;
  for (double ms = kMinMs; ms <= kMaxMs; ms *= 10) {
    out << "<line x1=\"" << kMargin << "\" x2=\"" << kWidth - kMargin
        << "\" y1=\"" << Axes::Y(ms) << "\" y2=\"" << Axes::Y(ms)
        << "\" stroke=\"#ddd\"/><text x=\"5\" y=\"" << Axes::Y(ms) + 4 << "\">"
        << ms << " ms</text>\n";
  }
  for (double at = std::ceil(axes.from); at <= axes.to; at += 2) {
    out << "<text x=\"" << axes.X(at) << "\" y=\"" << kHeight - kMargin + 20
        << "\">" << at << " s</text>\n";
  }
  out << "<line x1=\"" << axes.X(0) << "\" x2=\"" << axes.X(0) << "\" y1=\""
      << kMargin << "\" y2=\"" << kHeight - kMargin
      << "\" stroke=\"#888\" stroke-dasharray=\"4\"/>\n";
  return out.str();
}

}  // namespace

std::string LatencyPlot(const std::vector<const RunResult*>& runs) {
  Axes axes;
  for (const RunResult* run : runs) {
    for (const Sample& sample : run->samples) {
      axes.from = std::min(axes.from, Seconds(sample.at));
      axes.to = std::max(axes.to, Seconds(sample.at));
    }
  }
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight << "\" font-family=\"sans-serif\" "
      << "font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
         "fill=\"white\"/>\n"
      << GridLines(axes);
  if (!runs.empty()) {
    out << "<text x=\"" << kMargin << "\" y=\"20\">" << runs.front()->title
        << " (thin: median, thick: 99th percentile)</text>\n";
  }
  for (size_t i = 0; i < runs.size(); ++i) {
    const char* colour = kColours.at(i % kColours.size());
    const auto bins = LatencyBins(*runs[i]);
    constexpr double kMedianWidth = 1;
    constexpr double kTailWidth = 2.5;
    out << Polyline(axes, bins, 0.5, colour, kMedianWidth)
        << Polyline(axes, bins, 0.99, colour, kTailWidth) << "<text x=\""
        << kMargin + static_cast<double>(i) * 120 << "\" y=\"40\" fill=\""
        << colour << "\">" << runs[i]->settings << "</text>\n";
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace wasabihook::load
