#include "testing/fake_peer_network.h"

#include <optional>

namespace wasabihook::testing {

class FakePeerNetwork::Transport : public PeerTransport {
 public:
  Transport(std::shared_ptr<State> state, std::string from)
      : m_state(std::move(state)), m_from(std::move(from)) {}

  void Call(const std::string& address,
            PeerRequest request,
            std::function<void(std::optional<PeerResponse>)> done) override {
    m_state->timers->SubscribeOnce(
        m_state->latency,
        [state = m_state, from = m_from, address, request = std::move(request),
         done = std::move(done)] {
          Deliver(state, from, address, request, done);
        });
  }

 private:
  static std::shared_ptr<const PeerHandler> FindHandler(
      State& state,
      const std::string& from,
      const std::string& address) {
    std::lock_guard lock(state.mutex);
    ++state.calls;
    const auto it = state.handlers.find(address);
    const bool lost = state.partitioned.contains(from) ||
                      state.partitioned.contains(address) ||
                      it == state.handlers.end();
    return lost ? nullptr : it->second;
  }

  static void Deliver(
      const std::shared_ptr<State>& state,
      const std::string& from,
      const std::string& address,
      const PeerRequest& request,
      const std::function<void(std::optional<PeerResponse>)>& done) {
    if (const auto handler = FindHandler(*state, from, address)) {
      PeerResponse response = (*handler)(request);
      state->timers->SubscribeOnce(
          state->latency,
          [done, response = std::move(response)] { done(response); });
    } else {
      state->timers->SubscribeOnce(config::kPeerCallTimeout,
                                   [done] { done(std::nullopt); });
    }
  }

  std::shared_ptr<State> m_state;
  std::string m_from;
};

FakePeerNetwork::FakePeerNetwork(TimerService* timers, Duration latency)
    : m_state(std::make_shared<State>()) {
  m_state->timers = timers;
  m_state->latency = latency;
}

void FakePeerNetwork::Attach(const std::string& address, PeerHandler handler) {
  std::lock_guard lock(m_state->mutex);
  m_state->handlers[address] =
      std::make_shared<const PeerHandler>(std::move(handler));
}

void FakePeerNetwork::Detach(const std::string& address) {
  std::lock_guard lock(m_state->mutex);
  m_state->handlers.erase(address);
}

void FakePeerNetwork::SetPartitioned(const std::string& address,
                                     bool partitioned) {
  std::lock_guard lock(m_state->mutex);
  if (partitioned) {
    m_state->partitioned.insert(address);
  } else {
    m_state->partitioned.erase(address);
  }
}

bool FakePeerNetwork::IsPartitioned(const std::string& address) const {
  std::lock_guard lock(m_state->mutex);
  return m_state->partitioned.contains(address);
}

std::unique_ptr<PeerTransport> FakePeerNetwork::TransportFor(
    const std::string& from) {
  return std::make_unique<Transport>(m_state, from);
}

uint64_t FakePeerNetwork::calls() const {
  std::lock_guard lock(m_state->mutex);
  return m_state->calls;
}

}  // namespace wasabihook::testing
