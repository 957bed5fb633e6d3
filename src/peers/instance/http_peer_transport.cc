#include "peers/instance/http_peer_transport.h"

#include <curl/curl.h>

#include <chrono>
#include <utility>

#include "peers/instance/peer_codec.h"
#include "peers/instance/peer_rpc_client.h"

namespace wasabihook {
namespace {

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

PeerRpcOptions MakeRpcOptions(const PeerTransportOptions& options) {
  PeerRpcOptions rpc;
  rpc.path = kPeerPath;
  rpc.timeout_ms = ToMilliseconds(options.timeout);
  rpc.connect_timeout_ms = ToMilliseconds(options.connect_timeout);
  rpc.max_idle_connections = options.max_idle_connections;
  rpc.max_response_bytes = config::kMaxPeerMessageBytes;
  return rpc;
}

std::optional<PeerResponse> CallPeer(PeerRpcClient& client,
                                     const std::string& address,
                                     const PeerRequest& request) {
  const std::string method = MethodName(request);
  try {
    return DecodeResponse(method,
                          client.Call(address, method, Encode(request)));
  } catch (const PeerCallError&) {
    return std::nullopt;
  } catch (const PeerDecodeError&) {
    return std::nullopt;
  }
}

}  // namespace

HttpPeerTransport::HttpPeerTransport(PeerTransportOptions options)
    : m_options(options) {
  // curl_global_init() is not guaranteed to be thread-safe, so it runs before
  // the threads start.
  curl_global_init(CURL_GLOBAL_DEFAULT);
  for (uint32_t i = 0; i < options.threads; ++i) {
    m_threads.emplace_back([this] { RunWorker(); });
  }
}

HttpPeerTransport::~HttpPeerTransport() {
  {
    std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_work_available.notify_all();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

void HttpPeerTransport::Call(
    const std::string& address,
    PeerRequest request,
    std::function<void(std::optional<PeerResponse>)> done) {
  {
    std::lock_guard lock(m_mutex);
    QueuedCall call{address, std::move(request), std::move(done), false};
    if (m_queue.size() >= m_options.max_queued) {
      // Queued first so that a pool thread fails it without delay.
      call.rejected = true;
      m_queue.push_front(std::move(call));
    } else {
      m_queue.push_back(std::move(call));
    }
  }
  m_work_available.notify_one();
}

std::optional<HttpPeerTransport::QueuedCall> HttpPeerTransport::TakeCall(
    bool& stopping) {
  std::unique_lock lock(m_mutex);
  m_work_available.wait(lock,
                        [this] { return m_stopping || !m_queue.empty(); });
  stopping = m_stopping;
  if (m_queue.empty()) {
    return std::nullopt;
  }
  QueuedCall call = std::move(m_queue.front());
  m_queue.pop_front();
  return call;
}

void HttpPeerTransport::RunWorker() {
  PeerRpcClient client(MakeRpcOptions(m_options));
  bool stopping = false;
  while (std::optional<QueuedCall> call = TakeCall(stopping)) {
    if (call->rejected || stopping) {
      call->done(std::nullopt);
      continue;
    }
    const uint64_t bytes_before = client.bytes();
    ++m_calls;
    std::optional<PeerResponse> response =
        CallPeer(client, call->address, call->request);
    m_bytes += client.bytes() - bytes_before;
    call->done(std::move(response));
  }
}

}  // namespace wasabihook
