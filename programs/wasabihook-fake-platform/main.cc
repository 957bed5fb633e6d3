// Runs a fake of the platform's key-value service and instance list; see
// docs/fake-platform.md.
#include <tclap/CmdLine.h>

#include <condition_variable>
#include <exception>
#include <iostream>
#include <mutex>
#include <string>

#include "runtime/signal_watcher.h"
#include "runtime/thread_timer_service.h"
#include "testing/fake_platform.h"
#include "testing/fake_platform_server.h"

namespace wasabihook {
namespace {

struct Options {
  std::string address;
  uint64_t seed = 0;
  testing::PlatformFaults faults;
};

Options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine line("Fake platform of wasabihook", ' ', WASABIHOOK_VERSION);
  TCLAP::ValueArg<std::string> listen(
      "", "listen", "Address to listen on; port 0 selects a free port", false,
      "127.0.0.1:0", "IP:PORT", line);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of random faults", false, 1,
                                 "NUMBER", line);
  TCLAP::ValueArg<uint32_t> writes("", "rate-writes",
                                   "Limit of writes per second; 0: no limit",
                                   false, 0, "COUNT", line);
  TCLAP::ValueArg<uint32_t> reads("", "rate-reads",
                                  "Limit of reads per second; 0: no limit",
                                  false, 0, "COUNT", line);
  TCLAP::ValueArg<uint32_t> slow("", "slow-ms", "Delay of every call", false, 0,
                                 "MS", line);
  TCLAP::ValueArg<uint32_t> lag("", "list-lag-ms", "Age of the instance list",
                                false, 0, "MS", line);
  TCLAP::ValueArg<uint32_t> ttl(
      "", "instance-ttl-ms",
      "Time without announcement after which an instance is unlisted", false,
      30'000, "MS", line);
  TCLAP::ValueArg<uint32_t> lost(
      "", "lost-after-ms",
      "Time that a lost call stays open; should exceed the callers' timeout",
      false, 5'000, "MS", line);
  line.parse(argc, argv);
  using std::chrono::milliseconds;
  Options options{
      .address = listen.getValue(), .seed = seed.getValue(), .faults = {}};
  options.faults.slow = milliseconds(slow.getValue());
  options.faults.lost_after = milliseconds(lost.getValue());
  options.faults.list_lag = milliseconds(lag.getValue());
  options.faults.instance_ttl = milliseconds(ttl.getValue());
  options.faults.max_writes_per_s = writes.getValue();
  options.faults.max_reads_per_s = reads.getValue();
  return options;
}

void Run(const Options& options) {
  BlockTerminationSignals();
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  SignalWatcher watcher([&](int) {
    std::lock_guard lock(mutex);
    stopping = true;
    changed.notify_all();
  });
  // Must be destroyed in this order: listener, timers, platform.
  auto timers = std::make_unique<ThreadTimerService>();
  testing::FakePlatform platform(timers.get(), MakeRandomSource(options.seed));
  platform.SetFaults(options.faults);
  {
    testing::FakePlatformServer server(&platform, options.address);
    std::cout << "listening on " << server.address() << std::endl;
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return stopping; });
  }
  timers.reset();
}

}  // namespace
}  // namespace wasabihook

int main(int argc, char** argv) {
  try {
    wasabihook::Run(wasabihook::ParseOptions(argc, argv));
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "wasabihook-fake-platform: " << error.what() << std::endl;
    return 1;
  }
}
