#ifndef SRC_GATEWAY_INSTANCE_REGISTRATION_H_
#define SRC_GATEWAY_INSTANCE_REGISTRATION_H_

// PRIVATE HEADER. Registers this instance in the key-value store.

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/gateway_context.h"
#include "gateway/platform_adapter.h"
#include "gateway/store_client.h"

namespace wasabihook::gateway {

// Keeps a key with a lease in the store. Other instances count these keys to
// divide the servers' capacity, and read the address of the change feed from
// them. The key outlives a restart; if the instance does not return, it expires
// with its lease.
class InstanceRegistration {
 public:
  InstanceRegistration(GatewayContext* context, const StoreCodec* codec);
  ~InstanceRegistration();
  InstanceRegistration(const InstanceRegistration&) = delete;
  InstanceRegistration& operator=(const InstanceRegistration&) = delete;

  // Registers `value`. `already_registered`: the store still has the key of an
  // earlier process of this instance, so registration can wait.
  void Start(std::string value, bool already_registered);
  // The store removed the key: registers again.
  void OnEntryRemoved();
  // The store was restored from an older copy: the key or its lease may be
  // gone, so this instance registers again.
  void OnStoreRestored();

 private:
  void Grant();
  void Put();
  void Renew();
  // True if the lease is from another era than the reply. Registers again then.
  bool IsLeaseLost(const StoreReply& reply);
  void Schedule(Duration delay, void (InstanceRegistration::*step)());
  void Retry(const char* call, int status);

  GatewayContext* const m_context;
  const StoreCodec* const m_codec;
  StoreClient m_client;
  std::string m_value;
  uint64_t m_lease = 0;
  // Era of the store in which the lease was granted. A lease of an earlier era
  // may be lost, and its number given out again.
  std::optional<StoreEra> m_lease_era;
  Duration m_backoff{0};
  std::optional<TimerHandle> m_timer;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_INSTANCE_REGISTRATION_H_
