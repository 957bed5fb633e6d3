#include "peers/backend/curl_transport.h"

#include <curl/curl.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "peers/backend/transport_worker.h"

namespace wasabihook {
namespace {

void InitialiseCurl() {
  static const CURLcode kResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kResult);
}

}  // namespace

CurlBackendTransport::CurlBackendTransport(BackendTransportOptions options) {
  InitialiseCurl();
  const uint32_t count = std::max(options.worker_threads, 1U);
  m_workers.reserve(count);
  for (uint32_t i = 0; i < count; ++i) {
    m_workers.push_back(std::make_unique<TransportWorker>(options, [this] {
      if (m_pending.fetch_sub(1) == 1) {
        m_pending.notify_all();
      }
    }));
  }
}

CurlBackendTransport::~CurlBackendTransport() {
  for (const auto& worker : m_workers) {
    worker->Stop();
  }
  // Callbacks may send to other workers, so all workers run until no
  // sub-request is pending.
  for (uint64_t left = m_pending.load(); left > 0; left = m_pending.load()) {
    m_pending.wait(left);
  }
  for (const auto& worker : m_workers) {
    worker->Join();
  }
}

TransportWorker& CurlBackendTransport::WorkerFor(const ServerId& server) {
  return *m_workers[std::hash<ServerId>{}(server) % m_workers.size()];
}

void CurlBackendTransport::Send(SubRequest request, SubReplyCallback done) {
  m_pending.fetch_add(1);
  TransportWorker& worker = WorkerFor(request.server);
  worker.Send(std::move(request), std::move(done));
}

void CurlBackendTransport::Cancel(const SubRequestId& id) {
  for (const auto& worker : m_workers) {
    if (worker->Cancel(id)) {
      return;
    }
  }
}

void CurlBackendTransport::SetConnectionLimit(const ServerId& server,
                                              uint32_t limit) {
  WorkerFor(server).SetConnectionLimit(server, limit);
}

BackendTransportStats CurlBackendTransport::Stats() const {
  BackendTransportStats stats;
  for (const auto& worker : m_workers) {
    worker->counters().AddTo(&stats);
  }
  return stats;
}

}  // namespace wasabihook
