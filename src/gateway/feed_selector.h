#ifndef SRC_GATEWAY_FEED_SELECTOR_H_
#define SRC_GATEWAY_FEED_SELECTOR_H_

// PRIVATE HEADER.

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

// What an instance registers of itself.
struct InstanceRecord {
  DataCentreId data_centre;
  // Where other instances ask for changes; empty if it offers none.
  std::string feed_address;
};

// JSON. DecodeInstance throws std::runtime_error.
std::string EncodeInstance(const InstanceRecord& record);
InstanceRecord DecodeInstance(std::string_view value);

// Where an instance takes the changes of the store from.
struct FeedSource {
  // "ip:port" of another instance; empty for the store itself.
  std::string address;
  // The other instance must watch the store itself. Keeps two instances that
  // follow each other from passing for informed.
  bool direct_only = false;

  bool is_store() const { return address.empty(); }
};

// Decides from where this instance takes the changes. The instances of a data
// centre form a tree in the order of their ids: each follows its parent, or the
// parent's parent while that fails, and the first one watches the store. An
// instance whose own watch
// fails takes the changes from an instance of another data centre meanwhile.
class FeedSelector {
 public:
  FeedSelector(InstanceId self, DataCentreId data_centre)
      : m_self(std::move(self)), m_data_centre(std::move(data_centre)) {}

  void SetInstance(const InstanceId& id, InstanceRecord record);
  // The entry is gone from the store. The instance may well live on, so it is
  // remembered for a while: if all forgot each other at once, each would take
  // the whole slack of the repeats for itself.
  void RemoveInstance(const InstanceId& id, TimePoint now);
  // A listing follows: what it does not name is gone.
  void RemoveAllInstances(TimePoint now);
  // Forgets instances that have been gone for long.
  void Prune(TimePoint now);
  bool Has(const InstanceId& id) const { return m_instances.contains(id); }
  // Instances other than this one.
  size_t other_count() const {
    return m_instances.size() - (Has(m_self) ? 1 : 0);
  }

  FeedSource Select(TimePoint now) const;
  // One instance that works of each other data centre, to compare revisions
  // with.
  std::vector<std::string> RemoteFeeds(TimePoint now) const;

  // The instance did not answer. It is avoided for a growing time.
  void OnPeerFailure(const std::string& address, TimePoint now);
  // The instance answers, but has lost the store.
  void OnPeerUnusable(const std::string& address, TimePoint now);
  void OnPeerSuccess(const std::string& address) { m_backoffs.erase(address); }
  // The store does not answer this instance, or its watch hears nothing.
  void OnStoreFailure(TimePoint now) {
    m_store_retry_at = now + kStoreAvoidance;
  }
  // `address` knew more than the own watch had brought.
  void OnPeerAhead(const std::string& address) { m_preferred_remote = address; }
  void OnStoreSuccess() { m_store_retry_at = TimePoint(); }

 private:
  struct Backoff {
    TimePoint until;
    Duration delay{0};
  };

  // Feeds of this data centre's instances that stand before this one.
  std::vector<std::string> PrecedingFeeds() const;
  bool IsInBackoff(const std::string& address, TimePoint now) const;

  const InstanceId m_self;
  const DataCentreId m_data_centre;
  std::map<InstanceId, InstanceRecord> m_instances;
  std::map<InstanceId, TimePoint> m_removed_at;
  std::map<std::string, Backoff> m_backoffs;
  TimePoint m_store_retry_at;
  std::string m_preferred_remote;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_FEED_SELECTOR_H_
