#ifndef SRC_GATEWAY_FEED_CHOICE_H_
#define SRC_GATEWAY_FEED_CHOICE_H_

// PRIVATE HEADER.

#include <map>
#include <optional>
#include <string>
#include <string_view>

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

// Decides from which instance this one takes the changes of the store. The
// instances of a data centre stand in the order of their ids; each follows the
// first one before it that works, and the first one watches the store itself.
// Nobody follows an instance behind it, so that there are no cycles.
class FeedChoice {
 public:
  FeedChoice(InstanceId self, DataCentreId data_centre)
      : m_self(std::move(self)), m_data_centre(std::move(data_centre)) {}

  void Clear() { m_instances.clear(); }
  void Set(const InstanceId& id, InstanceRecord record);
  void Remove(const InstanceId& id) { m_instances.erase(id); }
  size_t size() const { return m_instances.size(); }
  bool Has(const InstanceId& id) const { return m_instances.contains(id); }
  // Instances other than this one.
  size_t others() const { return size() - (Has(m_self) ? 1 : 0); }

  // Address to follow; empty if this instance watches the store itself.
  std::optional<std::string> Choose(TimePoint now) const;
  // The instance did not answer, or has lost the store.
  void OnFailure(const std::string& address, TimePoint now);
  void OnSuccess(const std::string& address) { m_avoided.erase(address); }

 private:
  struct Avoided {
    TimePoint until;
    Duration delay{0};
  };

  const InstanceId m_self;
  const DataCentreId m_data_centre;
  std::map<InstanceId, InstanceRecord> m_instances;
  std::map<std::string, Avoided> m_avoided;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_FEED_CHOICE_H_
