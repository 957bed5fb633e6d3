#ifndef SRC_GATEWAY_INSTANCE_REGISTRATION_H_
#define SRC_GATEWAY_INSTANCE_REGISTRATION_H_

// PRIVATE HEADER.

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/gateway_context.h"
#include "gateway/platform_adapter.h"
#include "gateway/store_client.h"

namespace wasabihook::gateway {

// Keeps one key with a lease in the store that tells the other instances that
// this one shares the servers with them. The key outlives a restart; that of an
// instance that is gone for good ends with its lease.
class InstanceRegistration {
 public:
  InstanceRegistration(GatewayContext* context, const StoreCodec* codec);
  ~InstanceRegistration();
  InstanceRegistration(const InstanceRegistration&) = delete;
  InstanceRegistration& operator=(const InstanceRegistration&) = delete;

  // Registers `value`. `stands`: an earlier process of this instance has
  // registered the same, and its lease still runs for a while.
  void Start(std::string value, bool already_registered);
  // The key is gone from the store: registers again.
  void OnEntryRemoved();

 private:
  void Grant();
  void Put();
  void Renew();
  void Schedule(Duration delay, void (InstanceRegistration::*step)());
  void Retry(const char* call, int status);

  GatewayContext* const m_context;
  const StoreCodec* const m_codec;
  StoreClient m_client;
  std::string m_value;
  uint64_t m_lease = 0;
  Duration m_backoff{0};
  std::optional<TimerHandle> m_timer;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_INSTANCE_REGISTRATION_H_
