#ifndef SRC_DECISION_SETTINGS_PEER_EXCHANGE_H_
#define SRC_DECISION_SETTINGS_PEER_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "decision/membership/membership.h"
#include "decision/settings/settings_registry.h"
#include "wasabihook/config.h"
#include "wasabihook/peer.h"
#include "wasabihook/random_source.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

// Data other than settings that is carried in digests.
struct PeerNotices {
  std::vector<QuarantineEntry> quarantine;
  std::vector<ServerId> draining_servers;
};

// All pointers outlive the PeerExchange.
struct PeerExchangeDeps {
  TimerService* timers = nullptr;
  PeerTransport* transport = nullptr;
  SettingsRegistry* registry = nullptr;
  std::shared_ptr<Membership> membership;
  RandomSource random;
  // Peers to call while no other peer is known.
  std::vector<std::string> seed_peers;
  // Addresses in this data centre to prefer as digest targets, such as the
  // watchers if this instance is their standby; may be empty.
  std::function<std::vector<std::string>()> preferred_peers;
  std::function<PeerNotices()> notices;
  // Processes notices from a peer. Returns true if they contain something new
  // that other peers should learn immediately.
  std::function<bool(const PeerNotices&)> on_notices;
};

// Gossip protocol that propagates settings between instances. Each period sends
// a digest to one random peer in this data centre and to one in another; a
// change triggers digests to a few peers ahead of the next period. Newer
// subtrees are pulled from the peer. Thread-safe.
class PeerExchange : public std::enable_shared_from_this<PeerExchange> {
 public:
  static std::shared_ptr<PeerExchange> Create(PeerExchangeDeps deps);

  // Timers and callbacks do nothing once the last reference is released.
  void Start();
  // Sends a digest to a few peers after a short delay that batches changes.
  void NotifyPeers();
  // Handles a digest or pull request from a peer.
  PeerResponse Handle(const PeerRequest& request);
  // Time since the last response from a peer; empty if there was none.
  std::optional<Duration> PeerAge() const;

 private:
  explicit PeerExchange(PeerExchangeDeps deps);

  void RunDigestRound();
  void SendNotifications();
  // Addresses of the other live members, either in this data centre or in the
  // others.
  std::vector<std::string> Peers(bool same_data_centre) const;
  std::vector<std::string> Suspects() const;
  std::vector<std::string> ChooseDigestTargets();
  std::string PickOne(const std::vector<std::string>& addresses) const;
  DigestRequest MakeDigest() const;
  // Sends a digest and pulls subtrees that are newer on the peer. If an
  // exchange with the peer is in progress, another one follows it.
  void ExchangeDigest(const std::string& address);
  void OnDigestResponse(const std::string& address,
                        const std::optional<PeerResponse>& response);
  void OnPulled(const std::string& address,
                const std::optional<PeerResponse>& response);
  void OnCallFinished(const std::string& address, bool answered);
  void FinishExchange(const std::string& address);
  // Starts an exchange with the sender of a digest that has a newer revision.
  void PullFromSender(const DigestRequest& digest);
  DigestResponse HandleDigest(const DigestRequest& digest);
  PullResponse HandlePull(const PullRequest& pull);
  void RunAfter(Duration delay, void (PeerExchange::*method)());

  const PeerExchangeDeps m_deps;
  mutable std::mutex m_mutex;
  uint64_t m_round_count = 0;
  bool m_notify_scheduled = false;
  TimePoint m_last_notified_at{-config::kMinNotifyInterval};
  std::optional<TimePoint> m_answered_at;
  // Peers with an exchange in progress, and whether to start another one after
  // it.
  std::map<std::string, bool> m_exchanging;
  // Greatest revision requested from the sender of a digest, and when.
  Revision m_requested_revision;
  TimePoint m_requested_at;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_PEER_EXCHANGE_H_
