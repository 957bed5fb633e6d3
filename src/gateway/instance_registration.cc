#include "gateway/instance_registration.h"

#include <algorithm>
#include <utility>

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
// Registration has little effect while the store is unreachable, so retries are
// rare.
constexpr Duration kMinBackoff = std::chrono::seconds(1);
constexpr Duration kMaxBackoff = std::chrono::seconds(8);

}  // namespace

InstanceRegistration::InstanceRegistration(GatewayContext* context,
                                           const StoreCodec* codec)
    : m_context(context),
      m_codec(codec),
      m_client(context->loop,
               context->settings->store_address,
               context->platform->headers.store_era) {}

InstanceRegistration::~InstanceRegistration() {
  if (m_timer)
    m_context->loop->Unsubscribe(*m_timer);
}

void InstanceRegistration::Start(std::string value, bool already_registered) {
  m_value = std::move(value);
  if (already_registered)
    Schedule(kInstanceTakeoverRenewal, &InstanceRegistration::Grant);
  else
    Grant();
}

void InstanceRegistration::OnEntryRemoved() {
  m_context->log->Warning("registration_revoked", {{"lease", m_lease}});
  Schedule(Duration(static_cast<int64_t>(
               static_cast<double>(kRegistrationJitter.count()) *
               m_context->Uniform())),
           &InstanceRegistration::Grant);
}

void InstanceRegistration::OnStoreRestored() {
  m_lease_era.reset();
  Schedule(Duration(static_cast<int64_t>(
               static_cast<double>(kRestoredWriteJitter.count()) *
               m_context->Uniform())),
           &InstanceRegistration::Grant);
}

bool InstanceRegistration::IsLeaseLost(const StoreReply& reply) {
  if (reply.era == m_lease_era)
    return false;
  m_context->log->Warning(
      "registration_revoked",
      {{"lease", m_lease}, {"reason", "the store was restored"}});
  Grant();
  return true;
}

void InstanceRegistration::Schedule(Duration delay,
                                    void (InstanceRegistration::*step)()) {
  if (m_timer)
    m_context->loop->Unsubscribe(*m_timer);
  m_timer = m_context->loop->SubscribeOnce(delay, [this, step] {
    m_timer.reset();
    (this->*step)();
  });
}

void InstanceRegistration::Retry(const char* call, int status) {
  m_context->metrics->CountStoreCall(call, status == 0 ? "lost" : "refused");
  m_context->log->Warning("registration_failed",
                          {{"call", call}, {"status", status}});
  m_backoff = std::clamp(m_backoff * 2, kMinBackoff, kMaxBackoff);
  Schedule(m_backoff, &InstanceRegistration::Grant);
}

void InstanceRegistration::Grant() {
  if (m_client.busy()) {
    Schedule(kMinBackoff, &InstanceRegistration::Grant);
    return;
  }
  m_client.Call(m_codec->GrantLease(kInstanceLease), kStoreCallTimeout,
                [this](std::optional<StoreReply> reply) {
                  if (!reply || reply->status != kOk) {
                    Retry("grant", reply ? reply->status : 0);
                    return;
                  }
                  m_context->metrics->CountStoreCall("grant", "ok");
                  try {
                    m_lease = m_codec->DecodeLease(reply->body);
                    m_lease_era = reply->era;
                  } catch (const std::exception& error) {
                    m_context->log->Warning(
                        "store_reply_invalid",
                        {{"call", "grant"}, {"reason", error.what()}});
                    Retry("grant", reply->status);
                    return;
                  }
                  Put();
                });
}

void InstanceRegistration::Put() {
  const GatewaySettings& settings = *m_context->settings;
  const std::string key =
      m_context->platform->instance_prefix + settings.instance.value();
  m_client.Call(m_codec->Put(key, m_value, m_lease), kStoreCallTimeout,
                [this](std::optional<StoreReply> reply) {
                  if (!reply || reply->status != kOk) {
                    Retry("put", reply ? reply->status : 0);
                    return;
                  }
                  if (IsLeaseLost(*reply))
                    return;
                  m_context->metrics->CountStoreCall("put", "ok");
                  m_backoff = Duration(0);
                  Schedule(kInstanceRenewal, &InstanceRegistration::Renew);
                });
}

void InstanceRegistration::Renew() {
  if (m_client.busy())
    return;
  m_client.Call(m_codec->RenewLease(m_lease), kStoreCallTimeout,
                [this](std::optional<StoreReply> reply) {
                  if (!reply || reply->status != kOk) {
                    Retry("renew", reply ? reply->status : 0);
                    return;
                  }
                  if (IsLeaseLost(*reply))
                    return;
                  m_context->metrics->CountStoreCall("renew", "ok");
                  Schedule(kInstanceRenewal, &InstanceRegistration::Renew);
                });
}

}  // namespace wasabihook::gateway
