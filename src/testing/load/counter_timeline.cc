#include "testing/load/counter_timeline.h"

#include <exception>
#include <stdexcept>
#include <utility>

namespace wasabihook::load {
namespace {

constexpr std::chrono::milliseconds kReadingInterval(250);

}  // namespace

CounterTimeline::CounterTimeline(const BackendsControl* backends,
                                 std::chrono::steady_clock::time_point start)
    : m_backends(backends), m_start(start) {
  m_thread = std::thread([this] {
    while (!m_stopping) {
      try {
        TakeReading();
      } catch (const std::exception&) {
        // A failed reading is skipped; Finish() reports a persistent failure.
      }
      std::this_thread::sleep_for(kReadingInterval);
    }
  });
}

CounterTimeline::~CounterTimeline() {
  m_stopping = true;
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void CounterTimeline::Finish() {
  m_stopping = true;
  m_thread.join();
  TakeReading();
}

void CounterTimeline::TakeReading() {
  CountsByServer counts = m_backends->Counts();
  const auto now = std::chrono::steady_clock::now();
  m_readings.push_back(
      {std::chrono::duration_cast<Duration>(now - m_start), std::move(counts)});
}

const CountsByServer& CounterTimeline::At(Duration at) const {
  for (const Reading& reading : m_readings) {
    if (reading.at >= at) {
      return reading.counts;
    }
  }
  return Last();
}

const CountsByServer& CounterTimeline::Last() const {
  if (m_readings.empty()) {
    throw std::runtime_error("no counter readings are available");
  }
  return m_readings.back().counts;
}

double CounterTimeline::ReceivedAt(Duration at) const {
  const auto total = [](const Reading& reading) {
    return static_cast<double>(
        SumCounter(reading.counts, &ServerCounts::received));
  };
  for (size_t i = 1; i < m_readings.size(); ++i) {
    const Reading& before = m_readings[i - 1];
    const Reading& after = m_readings[i];
    if (before.at <= at && at < after.at) {
      const double share = static_cast<double>((at - before.at).count()) /
                           static_cast<double>((after.at - before.at).count());
      return total(before) + share * (total(after) - total(before));
    }
  }
  return total(m_readings.back());
}

uint64_t SumCounter(const CountsByServer& counts,
                    uint64_t ServerCounts::*counter,
                    const std::vector<std::string>& names) {
  uint64_t total = 0;
  if (names.empty()) {
    for (const auto& [server, entry] : counts) {
      total += entry.*counter;
    }
  }
  for (const std::string& name : names) {
    if (const auto found = counts.find(name); found != counts.end()) {
      total += found->second.*counter;
    }
  }
  return total;
}

}  // namespace wasabihook::load
