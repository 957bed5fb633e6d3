#ifndef SRC_GATEWAY_QUARANTINE_PUBLISHER_H_
#define SRC_GATEWAY_QUARANTINE_PUBLISHER_H_

// PRIVATE HEADER. Records quarantined requests in the key-value store.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "gateway/gateway_context.h"
#include "gateway/platform_adapter.h"
#include "gateway/store_client.h"

namespace wasabihook::gateway {

// Value of the store key of a quarantined request. Operators release a request
// by writing the value with `released` set.
struct QuarantineRecord {
  bool released = false;
  // Wall-clock time, so that it holds for instances that start later; 0 if
  // unknown.
  WallTime expires{};
};

// Encoded as JSON. DecodeQuarantine throws an exception derived from
// std::exception if the value is malformed.
std::string EncodeQuarantine(const QuarantineRecord& record);
QuarantineRecord DecodeQuarantine(std::string_view value);

// Keeps the verdicts in the store, each under a key with a lease that ends with
// the quarantine. So instances that start later know it, also after all have
// stopped. The store may revoke leases and may come back from an older copy, so
// every instance that knows a verdict or a release writes it again when it is
// gone. Each waits for a random time, and the first write makes the others
// needless.
class QuarantinePublisher {
 public:
  QuarantinePublisher(GatewayContext* context, const StoreCodec* codec);
  ~QuarantinePublisher();
  QuarantinePublisher(const QuarantinePublisher&) = delete;
  QuarantinePublisher& operator=(const QuarantinePublisher&) = delete;

  // This instance reached the verdict.
  void Publish(Fingerprint fingerprint, TimePoint expires);
  // The store has the key. Returns the time left for the request, or nullopt if
  // the record has expired or is older than a release that is known here.
  std::optional<Duration> OnListed(Fingerprint fingerprint,
                                   const QuarantineRecord& record);
  // The store no longer has the key. Returns whether the record holds and is
  // written again.
  bool OnRemoved(Fingerprint fingerprint);
  // The store was listed in `era` and has the keys of `listed`. Writes again
  // what it lacks, also if the store acknowledged it: the store may have been
  // restored before anybody read it.
  void OnListing(const std::set<Fingerprint>& listed, StoreEra era);

 private:
  struct Entry {
    TimePoint expires;
    bool released = false;
    // Time of the next write; empty once the store has the key.
    std::optional<TimePoint> due{};
  };

  void WriteSoon(Entry& entry);
  void Step();
  void Put(Fingerprint fingerprint, uint64_t lease);
  void Retry(const char* call, int status);

  GatewayContext* const m_context;
  const StoreCodec* const m_codec;
  StoreClient m_client;
  // Verdicts and releases that are known here.
  std::map<Fingerprint, Entry> m_known;
  StoreEra m_era;
  Duration m_backoff{0};
  TimePoint m_retry_at;
  TimerHandle m_timer;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_QUARANTINE_PUBLISHER_H_
