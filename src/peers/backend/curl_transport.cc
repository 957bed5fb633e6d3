#include "peers/backend/curl_transport.h"

#include <curl/curl.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "peers/backend/shard.h"

namespace wasabihook {
namespace {

void InitialiseCurl() {
  static const CURLcode kResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kResult);
}

}  // namespace

CurlBackendTransport::CurlBackendTransport(BackendTransportOptions options) {
  InitialiseCurl();
  const uint32_t count = std::max(options.shards, 1U);
  m_shards.reserve(count);
  for (uint32_t i = 0; i < count; ++i) {
    m_shards.push_back(std::make_unique<Shard>(options, [this] {
      if (m_pending.fetch_sub(1) == 1) {
        m_pending.notify_all();
      }
    }));
  }
}

CurlBackendTransport::~CurlBackendTransport() {
  for (const auto& shard : m_shards) {
    shard->Stop();
  }
  // Callbacks may send to other shards, so all shards run until none is left.
  for (uint64_t left = m_pending.load(); left > 0; left = m_pending.load()) {
    m_pending.wait(left);
  }
  for (const auto& shard : m_shards) {
    shard->Join();
  }
}

Shard& CurlBackendTransport::ShardOf(const ServerId& server) {
  return *m_shards[std::hash<ServerId>{}(server) % m_shards.size()];
}

void CurlBackendTransport::Send(SubRequest request, SubReplyCallback done) {
  m_pending.fetch_add(1);
  Shard& shard = ShardOf(request.server);
  shard.Send(std::move(request), std::move(done));
}

void CurlBackendTransport::Cancel(const SubRequestId& id) {
  for (const auto& shard : m_shards) {
    if (shard->Cancel(id)) {
      return;
    }
  }
}

void CurlBackendTransport::SetConnectionLimit(const ServerId& server,
                                              uint32_t limit) {
  ShardOf(server).SetConnectionLimit(server, limit);
}

BackendTransportStats CurlBackendTransport::Stats() const {
  BackendTransportStats stats;
  for (const auto& shard : m_shards) {
    shard->counters().AddTo(&stats);
  }
  return stats;
}

}  // namespace wasabihook
