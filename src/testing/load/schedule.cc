#include "testing/load/schedule.h"

#include <algorithm>
#include <random>

namespace wasabihook::load {
namespace {

constexpr double kMicrosPerSecond = 1e6;

void AppendArrivals(const ArrivalPlan& plan,
                    uint64_t seed,
                    std::vector<Arrival>* arrivals) {
  if (plan.rate <= 0) {
    return;
  }
  std::seed_seq seeds{seed, uint64_t{plan.stream},
                      static_cast<uint64_t>(plan.from.count())};
  std::mt19937_64 random(seeds);
  std::exponential_distribution<double> gap(plan.rate / kMicrosPerSecond);
  double at = static_cast<double>(plan.from.count()) + gap(random);
  while (at < static_cast<double>(plan.to.count())) {
    arrivals->push_back({Duration(static_cast<int64_t>(at)), plan.stream});
    at += gap(random);
  }
}

}  // namespace

std::vector<Arrival> PoissonSchedule(const std::vector<ArrivalPlan>& plans,
                                     uint64_t seed) {
  std::vector<Arrival> arrivals;
  for (const ArrivalPlan& plan : plans) {
    AppendArrivals(plan, seed, &arrivals);
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

}  // namespace wasabihook::load
