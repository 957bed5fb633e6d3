#include "testing/load/measures.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <stdexcept>

namespace wasabihook::load {
namespace {

double Ms(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

uint64_t CountBetween(const MeasureInput& input,
                      uint64_t ServerCounts::*counter,
                      const std::vector<std::string>& servers,
                      Duration from,
                      Duration to) {
  return SumCounter(input.counts->At(to), counter, servers) -
         SumCounter(input.counts->At(from), counter, servers);
}

// Share of their shard groups' requests that the cold servers received, as a
// multiple of an equal share.
double ColdRequestShare(const MeasureInput& input, Duration from, Duration to) {
  std::vector<std::string> peers;
  for (const ControlledServer& server : input.servers) {
    const bool peer =
        std::any_of(input.servers.begin(), input.servers.end(),
                    [&](const ControlledServer& other) {
                      return other.index_set == server.index_set &&
                             other.group == server.group &&
                             std::find(input.cold.begin(), input.cold.end(),
                                       other.server) != input.cold.end();
                    });
    if (peer) {
      peers.push_back(server.server);
    }
  }
  const auto own = static_cast<double>(
      CountBetween(input, &ServerCounts::received, input.cold, from, to));
  const auto all = static_cast<double>(
      CountBetween(input, &ServerCounts::received, peers, from, to));
  if (all == 0 || input.cold.empty()) {
    return 0;
  }
  return own / all * static_cast<double>(peers.size()) /
         static_cast<double>(input.cold.size());
}

// Smallest number of servers in a shard group that never crashed.
double MinLiveServers(const MeasureInput& input) {
  std::map<std::string, double> live;
  const CountsByServer& counts = input.counts->Last();
  for (const ControlledServer& server : input.servers) {
    if (server.index_set == input.index_set) {
      const auto found = counts.find(server.server);
      live[server.group] +=
          found != counts.end() && found->second.crashes == 0 ? 1 : 0;
    }
  }
  const auto least = std::min_element(
      live.begin(), live.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return least == live.end() ? 0 : least->second;
}

using StatisticsMeasure = std::function<double(const RunStatistics&)>;

const std::map<std::string, StatisticsMeasure>& StatisticsMeasures() {
  static const std::map<std::string, StatisticsMeasure> kMeasures = {
      {"p50", [](const RunStatistics& f) { return Ms(f.p50); }},
      {"p99", [](const RunStatistics& f) { return Ms(f.p99); }},
      {"p999", [](const RunStatistics& f) { return Ms(f.p999); }},
      {"max", [](const RunStatistics& f) { return Ms(f.max); }},
      {"refusal_p99", [](const RunStatistics& f) { return Ms(f.refusal_p99); }},
      {"coverage", [](const RunStatistics& f) { return f.coverage; }},
      {"complete_share",
       [](const RunStatistics& f) { return f.complete_share; }},
      {"deadline_share",
       [](const RunStatistics& f) { return f.deadline_share; }},
      {"errors",
       [](const RunStatistics& f) { return static_cast<double>(f.errors); }},
      {"refused_share",
       [](const RunStatistics& f) {
         return f.requests == 0 ? 0
                                : static_cast<double>(f.refused) /
                                      static_cast<double>(f.requests);
       }},
  };
  return kMeasures;
}

}  // namespace

double Measure(const Bound& bound, const MeasureInput& input) {
  const Duration from = bound.from.value_or(Duration(0));
  const Duration to = bound.to.value_or(input.length);
  const std::string& name = bound.measure;
  const RunStatistics statistics = ComputeStatistics(input.samples, from, to);
  if (const auto found = StatisticsMeasures().find(name);
      found != StatisticsMeasures().end()) {
    return found->second(statistics);
  }
  if (name == "goodput_share") {
    return input.capacity > 0 ? statistics.goodput / input.capacity : 0;
  }
  if (name == "extra_load") {
    return input.extra_load;
  }
  if (name == "wrong") {
    return 0;  // Set after the run from the oracle's findings.
  }
  if (name == "received_by_drained") {
    return static_cast<double>(
        CountBetween(input, &ServerCounts::received, input.drained, from, to));
  }
  if (name == "crashes") {
    return static_cast<double>(
        CountBetween(input, &ServerCounts::crashes, {}, from, to));
  }
  if (name == "cold_share") {
    return ColdRequestShare(input, from, to);
  }
  if (name == "least_live") {
    return MinLiveServers(input);
  }
  throw std::runtime_error("unknown measure " + name);
}

}  // namespace wasabihook::load
