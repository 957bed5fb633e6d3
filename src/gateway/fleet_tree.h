#ifndef SRC_GATEWAY_FLEET_TREE_H_
#define SRC_GATEWAY_FLEET_TREE_H_

// PRIVATE HEADER. Adds up what the instances of a fleet see.

#include <map>
#include <string>
#include <utility>

#include "gateway/gateway_settings.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// What this instance received from others along the tree of the change feed:
// each instance sends the digest of its subtree to the instance that it follows
// and receives the result for the fleet in return; the roots of the data
// centres exchange those of their data centres. Whatever is not refreshed
// expires. `Merge` is called with (Digest& into, const Digest& from).
template <typename Digest, auto Merge>
class FleetTree {
 public:
  // Adds what the instances that follow this one sent.
  void AddFollowers(Digest& into, TimePoint now) {
    MergeFresh(into, m_followers, now);
  }
  // Adds what the roots of other data centres sent.
  void AddDataCentres(Digest& into, TimePoint now) {
    MergeFresh(into, m_data_centres, now);
  }
  // True if the follower was heard of recently.
  bool HasFollower(const std::string& id, TimePoint now) const {
    const auto found = m_followers.find(id);
    return found != m_followers.end() && IsFresh(found->second, now);
  }
  void SetFollower(const std::string& id, Digest digest, TimePoint now) {
    m_followers[id] = {.digest = std::move(digest), .at = now};
  }
  void SetDataCentre(const std::string& root, Digest digest, TimePoint now) {
    m_data_centres[root] = {.digest = std::move(digest), .at = now};
  }
  // Result for the fleet, received from the instance that this one follows.
  void SetResult(Digest digest, TimePoint now) {
    m_result = {.digest = std::move(digest), .at = now};
  }
  Digest Result(TimePoint now) const {
    return IsFresh(m_result, now) ? m_result.digest : Digest();
  }

 private:
  struct Received {
    Digest digest;
    TimePoint at;
  };
  using Sources = std::map<std::string, Received>;

  static bool IsFresh(const Received& received, TimePoint now) {
    return now - received.at <= kObservationExpiry;
  }
  static void MergeFresh(Digest& into, Sources& sources, TimePoint now) {
    std::erase_if(sources, [now](const auto& entry) {
      return !IsFresh(entry.second, now);
    });
    for (const auto& [id, received] : sources)
      Merge(into, received.digest);
  }

  Sources m_followers;
  Sources m_data_centres;
  Received m_result;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_FLEET_TREE_H_
