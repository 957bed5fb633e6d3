#ifndef SRC_TESTING_FAKE_PEER_NETWORK_H_
#define SRC_TESTING_FAKE_PEER_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "wasabihook/config.h"
#include "wasabihook/peer.h"
#include "wasabihook/timer_service.h"

namespace wasabihook::testing {

// In-memory network between instances, with partitions. Thread-safe; handlers
// and callbacks run on the timer service.
class FakePeerNetwork {
 public:
  // `timers` must outlive the network and its transports.
  explicit FakePeerNetwork(TimerService* timers, Duration latency);

  // Requests to `address` go to `handler` until Detach().
  void Attach(const std::string& address, PeerHandler handler);
  void Detach(const std::string& address);
  // All calls from and to a partitioned address are lost.
  void SetPartitioned(const std::string& address, bool partitioned);
  bool IsPartitioned(const std::string& address) const;
  // Transport of the instance whose address is `from`.
  std::unique_ptr<PeerTransport> TransportFor(const std::string& from);
  uint64_t calls() const;

 private:
  class Transport;
  struct State {
    TimerService* timers;
    Duration latency;
    mutable std::mutex mutex;
    std::map<std::string, std::shared_ptr<const PeerHandler>> handlers;
    std::set<std::string> partitioned;
    uint64_t calls = 0;
  };

  std::shared_ptr<State> m_state;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_PEER_NETWORK_H_
