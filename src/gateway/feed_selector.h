#ifndef SRC_GATEWAY_FEED_SELECTOR_H_
#define SRC_GATEWAY_FEED_SELECTOR_H_

// PRIVATE HEADER. Selects where an instance reads changes of the store from.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

// Value of the store key that an instance registers for itself.
struct InstanceRecord {
  DataCentreId data_centre;
  // "ip:port" of its change feed; empty if it has none.
  std::string feed_address;
};

// Encoded as JSON. DecodeInstance throws an exception derived from
// std::exception if the value is malformed.
std::string EncodeInstance(const InstanceRecord& record);
InstanceRecord DecodeInstance(std::string_view value);

// Source of changes: the store or another instance.
struct FeedSource {
  // "ip:port" of another instance; empty for the store itself.
  std::string address;
  // The other instance must watch the store itself. Otherwise two instances
  // that follow each other would both report that the store is reachable.
  bool direct_only = false;

  bool is_store() const { return address.empty(); }
};

// Selects the source of changes of this instance. The instances of a data
// centre form a tree, ordered by their ids: each follows its parent, or its
// grandparent while the parent fails, and the root watches the store. An
// instance whose own watch fails follows an instance of another data centre for
// a short time before it tries the store again.
class FeedSelector {
 public:
  FeedSelector(InstanceId self, DataCentreId data_centre)
      : m_self(std::move(self)), m_data_centre(std::move(data_centre)) {}

  void SetInstance(const InstanceId& id, InstanceRecord record);
  // The store no longer has the instance's entry. The instance may still run,
  // so it still counts for some time: if all instances forgot each other at
  // once, each would use the retry slack of the whole fleet.
  void RemoveInstance(const InstanceId& id, TimePoint now);
  // Called before a listing is applied: instances that it does not contain
  // count as removed.
  void RemoveAllInstances(TimePoint now);
  // Forgets instances whose entries were removed long enough ago.
  void Prune(TimePoint now);
  bool Has(const InstanceId& id) const { return m_instances.contains(id); }
  // All instances, and a number that changes with them.
  const std::map<InstanceId, InstanceRecord>& instances() const {
    return m_instances;
  }
  uint64_t generation() const { return m_generation; }
  // Number of instances other than this one.
  size_t other_count() const {
    return m_instances.size() - (Has(m_self) ? 1 : 0);
  }

  FeedSource Select(TimePoint now) const;
  // Feed of one instance of each other data centre, without those in backoff.
  std::vector<std::string> RemoteFeeds(TimePoint now) const;

  // The instance did not answer. It is not selected during an exponential
  // backoff.
  void OnPeerFailure(const std::string& address, TimePoint now);
  // The instance answered but cannot supply the changes, for example because it
  // has lost contact with the store.
  void OnPeerUnusable(const std::string& address, TimePoint now);
  void OnPeerSuccess(const std::string& address) { m_backoffs.erase(address); }
  // The store does not answer this instance, or its watch has stalled.
  void OnStoreFailure(TimePoint now) {
    m_store_retry_at = now + kStoreRetryDelay;
  }
  // The instance at `address` knows a newer revision than this one; it is
  // preferred if the watch on the store fails.
  void OnPeerAhead(const std::string& address) { m_preferred_remote = address; }
  void OnStoreSuccess() { m_store_retry_at = TimePoint(); }

 private:
  struct Backoff {
    TimePoint until;
    Duration delay{0};
  };

  // Feeds of the instances of this data centre whose ids sort before this one.
  std::vector<std::string> PrecedingFeeds() const;
  bool IsInBackoff(const std::string& address, TimePoint now) const;

  const InstanceId m_self;
  const DataCentreId m_data_centre;
  std::map<InstanceId, InstanceRecord> m_instances;
  uint64_t m_generation = 0;
  std::map<InstanceId, TimePoint> m_removed_at;
  std::map<std::string, Backoff> m_backoffs;
  TimePoint m_store_retry_at;
  std::string m_preferred_remote;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_FEED_SELECTOR_H_
