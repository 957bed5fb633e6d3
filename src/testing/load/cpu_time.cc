#include "testing/load/cpu_time.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

namespace wasabihook::load {
namespace {

// utime + stime of one process; see proc(5). The command name may contain
// spaces, so fields are counted from its closing parenthesis.
uint64_t TicksOf(int process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  std::string line;
  std::getline(file, line);
  const size_t end = line.rfind(')');
  if (end == std::string::npos) {
    return 0;
  }
  std::istringstream fields(line.substr(end + 1));
  constexpr int kFieldsBeforeUserTime = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  uint64_t user = 0;
  uint64_t system = 0;
  fields >> user >> system;
  return user + system;
}

}  // namespace

CpuTime ReadCpuTime(const std::vector<int>& processes) {
  CpuTime time;
  std::ifstream file("/proc/stat");
  std::string name;
  file >> name;
  constexpr int kStates = 8;  // user nice system idle iowait irq softirq steal
  constexpr int kIdle = 3;
  constexpr int kIoWait = 4;
  for (int i = 0; i < kStates; ++i) {
    uint64_t ticks = 0;
    file >> ticks;
    time.total += ticks;
    time.busy += i == kIdle || i == kIoWait ? 0 : ticks;
  }
  for (const int process : processes) {
    time.own += TicksOf(process);
  }
  return time;
}

CpuUtilisation CpuUtilisationBetween(const CpuTime& before,
                                     const CpuTime& after) {
  const auto total =
      static_cast<double>(std::max<uint64_t>(1, after.total - before.total));
  return {
      static_cast<double>(after.busy - before.busy) / total,
      static_cast<double>(after.own - std::min(after.own, before.own)) / total};
}

}  // namespace wasabihook::load
