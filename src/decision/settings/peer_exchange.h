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

// What an instance tells its peers besides settings.
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
  // Peers to call while no other is known.
  std::vector<std::string> seed_peers;
  // Addresses that the next digest to the own data centre should go to, such
  // as the watchers when this instance stands in for them; may be empty.
  std::function<std::vector<std::string>()> preferred_peers;
  std::function<PeerNotices()> notices;
  // True if the notices held something new that peers should learn at once.
  std::function<bool(const PeerNotices&)> on_notices;
};

// Spreads settings between instances: a digest to a random peer of the own and
// of another data centre each period, news to a few peers at once, and pulls of
// what is newer. Thread-safe.
class PeerExchange : public std::enable_shared_from_this<PeerExchange> {
 public:
  static std::shared_ptr<PeerExchange> Create(PeerExchangeDeps deps);

  // Nothing runs after the last reference is gone.
  void Start();
  // Tells a few peers at once, gathering further news for a short time.
  void NotifyPeers();
  // Answers a digest or a pull of a peer.
  PeerResponse Handle(const PeerRequest& request);
  // Time since a peer last answered; empty if none did.
  std::optional<Duration> PeerAge() const;

 private:
  explicit PeerExchange(PeerExchangeDeps deps);

  void RunDigestRound();
  void SendNotifications();
  // Live members other than this one; of its data centre or of the others.
  std::vector<std::string> Peers(bool same_data_centre) const;
  std::vector<std::string> Suspects() const;
  std::vector<std::string> ChooseDigestTargets();
  std::string PickOne(const std::vector<std::string>& addresses) const;
  DigestRequest MakeDigest() const;
  // Sends a digest and pulls what the peer has newer.
  void ExchangeDigest(const std::string& address);
  void OnDigestResponse(const std::string& address,
                        const std::optional<PeerResponse>& response);
  void OnPulled(const std::string& address,
                const std::optional<PeerResponse>& response);
  void OnCallFinished(const std::string& address, bool answered);
  void FinishExchange(const std::string& address);
  // Fetches from the sender of a digest if it has something newer.
  void PullFromSender(const DigestRequest& digest);
  DigestResponse HandleDigest(const DigestRequest& digest);
  PullResponse HandlePull(const PullRequest& pull);
  void RunAfter(Duration delay, void (PeerExchange::*method)());

  const PeerExchangeDeps m_deps;
  mutable std::mutex m_mutex;
  uint64_t m_round_count = 0;
  bool m_notify_scheduled = false;
  // When news was sent last.
  TimePoint m_last_notified_at{-config::kMinNotifyInterval};
  std::optional<TimePoint> m_answered_at;
  // Peers with an exchange under way, and whether another shall follow.
  std::map<std::string, bool> m_exchanging;
  // Greatest revision that is being fetched from a sender of news.
  Revision m_requested_revision;
  TimePoint m_requested_at;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_PEER_EXCHANGE_H_
