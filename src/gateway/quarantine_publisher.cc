#include "gateway/quarantine_publisher.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "gateway/request_fingerprint.h"

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
// End of the year 9999. Later times don't fit the type of a duration.
constexpr int64_t kMaxUnixMs = 253'402'300'799'999;
constexpr Duration kStepPeriod = std::chrono::milliseconds(50);
constexpr Duration kMinBackoff = std::chrono::milliseconds(500);
constexpr Duration kMaxBackoff = std::chrono::seconds(8);
// A quarantine with less time left is not written any more.
constexpr Duration kMinTimeLeft = std::chrono::seconds(5);
// A verdict that ends this much later than a released one is another one.
// Covers clocks that jump by seconds.
constexpr Duration kReleaseMargin = std::chrono::seconds(30);

}  // namespace

std::string EncodeQuarantine(const QuarantineRecord& record) {
  return nlohmann::json{
      {"released", record.released},
      {"expires_at_ms", record.expires.since_unix_epoch.count()}}
      .dump();
}

QuarantineRecord DecodeQuarantine(std::string_view value) {
  const nlohmann::json in = nlohmann::json::parse(value);
  const auto expires_ms = in.value("expires_at_ms", nlohmann::json(0));
  if (!expires_ms.is_number_integer() || expires_ms.get<int64_t>() < 0 ||
      expires_ms.get<int64_t>() > kMaxUnixMs)
    throw std::runtime_error("expires_at_ms is not a valid time");
  return {.released = in.value("released", false),
          .expires =
              WallTime{std::chrono::milliseconds(expires_ms.get<int64_t>())}};
}

QuarantinePublisher::QuarantinePublisher(GatewayContext* context,
                                         const StoreCodec* codec)
    : m_context(context),
      m_codec(codec),
      m_client(context->loop,
               context->settings->store_address,
               context->platform->headers.store_era),
      m_timer(context->loop->SubscribeEvery(kStepPeriod, [this] { Step(); })) {}

QuarantinePublisher::~QuarantinePublisher() {
  m_context->loop->Unsubscribe(m_timer);
}

void QuarantinePublisher::WriteSoon(Entry& entry) {
  entry.due = m_context->loop->Now() +
              Duration(static_cast<int64_t>(
                  m_context->Uniform() *
                  static_cast<double>(kQuarantinePublishJitter.count())));
}

void QuarantinePublisher::Publish(Fingerprint fingerprint, TimePoint expires) {
  Entry& entry = m_known[fingerprint];
  entry = {.expires = expires};
  WriteSoon(entry);
}

std::optional<Duration> QuarantinePublisher::OnListed(
    Fingerprint fingerprint,
    const QuarantineRecord& record) {
  const TimePoint now = m_context->loop->Now();
  Duration left = config::kQuarantineExpiry;
  if (record.expires > WallTime())
    left = std::min<Duration>(left,
                              record.expires.since_unix_epoch -
                                  m_context->loop->WallNow().since_unix_epoch);
  const auto known = m_known.find(fingerprint);
  if (record.released) {
    // The verdict that it releases may come back with an older copy of the
    // store.
    if (known == m_known.end())
      m_known[fingerprint] = {.expires = now + left, .released = true};
    else
      known->second = {.expires = known->second.expires, .released = true};
    return left;
  }
  if (left < kMinTimeLeft)
    return std::nullopt;
  if (known != m_known.end() && known->second.released &&
      now + left <= known->second.expires + kReleaseMargin) {
    WriteSoon(known->second);
    return std::nullopt;
  }
  m_known[fingerprint] = {.expires = now + left};
  return left;
}

bool QuarantinePublisher::OnRemoved(Fingerprint fingerprint) {
  const auto found = m_known.find(fingerprint);
  if (found == m_known.end())
    return false;
  if (found->second.expires - m_context->loop->Now() < kMinTimeLeft) {
    m_known.erase(found);
    return false;
  }
  WriteSoon(found->second);
  return true;
}

void QuarantinePublisher::OnListing(const std::set<Fingerprint>& listed,
                                    StoreEra era) {
  m_era = era;
  for (auto& [fingerprint, entry] : m_known) {
    if (!entry.due && !listed.contains(fingerprint))
      WriteSoon(entry);
  }
}

void QuarantinePublisher::Step() {
  const TimePoint now = m_context->loop->Now();
  std::erase_if(m_known, [now](const auto& entry) {
    return entry.second.expires - now < kMinTimeLeft;
  });
  if (m_client.busy() || now < m_retry_at)
    return;
  const auto next =
      std::find_if(m_known.begin(), m_known.end(), [now](const auto& entry) {
        return entry.second.due && *entry.second.due <= now;
      });
  if (next == m_known.end())
    return;
  const Fingerprint fingerprint = next->first;
  m_client.Call(m_codec->GrantLease(next->second.expires - now),
                kStoreCallTimeout,
                [this, fingerprint](const std::optional<StoreReply>& reply) {
                  if (!reply || reply->status != kOk) {
                    Retry("grant", reply ? reply->status : 0);
                    return;
                  }
                  m_context->metrics->CountStoreCall("grant", "ok");
                  try {
                    Put(fingerprint, m_codec->DecodeLease(reply->body));
                  } catch (const std::exception& error) {
                    m_context->log->Warning(
                        "store_reply_invalid",
                        {{"call", "grant"}, {"reason", error.what()}});
                    Retry("grant", reply->status);
                  }
                });
}

void QuarantinePublisher::Put(Fingerprint fingerprint, uint64_t lease) {
  const std::string key =
      m_context->platform->quarantine_prefix + ToHex(fingerprint);
  const auto known = m_known.find(fingerprint);
  if (known == m_known.end())
    return;
  const QuarantineRecord record = {
      .released = known->second.released,
      .expires = m_context->loop->WallNow() +
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     known->second.expires - m_context->loop->Now())};
  m_client.Call(m_codec->Put(key, EncodeQuarantine(record), lease),
                kStoreCallTimeout,
                [this, fingerprint](const std::optional<StoreReply>& reply) {
                  if (!reply || reply->status != kOk) {
                    Retry("put", reply ? reply->status : 0);
                    return;
                  }
                  m_context->metrics->CountStoreCall("put", "ok");
                  m_backoff = Duration(0);
                  // Written before the store was restored.
                  if (JudgeEra(m_era, reply->era) == ReplyEra::kStale)
                    return;
                  if (const auto written = m_known.find(fingerprint);
                      written != m_known.end())
                    written->second.due.reset();
                  m_context->log->Info("quarantine_recorded",
                                       {{"fingerprint", ToHex(fingerprint)}});
                });
}

// The entries that are due stay so.
void QuarantinePublisher::Retry(const char* call, int status) {
  m_context->metrics->CountStoreCall(call, status == 0 ? "lost" : "refused");
  m_context->log->Warning("quarantine_not_recorded",
                          {{"call", call}, {"status", status}});
  m_backoff = std::clamp(m_backoff * 2, kMinBackoff, kMaxBackoff);
  m_retry_at = m_context->loop->Now() + m_backoff;
}

}  // namespace wasabihook::gateway
