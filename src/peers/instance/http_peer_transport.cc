#include "peers/instance/http_peer_transport.h"

#include <curl/curl.h>

#include <chrono>
#include <utility>

#include "peers/instance/peer_codec.h"
#include "peers/instance/peer_rpc_client.h"

namespace wasabihook {
namespace {

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

PeerRpcOptions RpcOptions(const PeerTransportOptions& options) {
  PeerRpcOptions rpc;
  rpc.path = kPeerPath;
  rpc.timeout_ms = Milliseconds(options.timeout);
  rpc.connect_timeout_ms = Milliseconds(options.connect_timeout);
  rpc.kept_connections = options.kept_connections;
  rpc.max_response_bytes = config::kMaxPeerMessageBytes;
  return rpc;
}

std::optional<PeerResponse> Exchange(PeerRpcClient& client,
                                     const std::string& address,
                                     const PeerRequest& request) {
  const std::string method = MethodOf(request);
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
  // Not thread-safe in itself, so it is done before the threads start.
  curl_global_init(CURL_GLOBAL_DEFAULT);
  for (uint32_t i = 0; i < options.threads; ++i) {
    m_threads.emplace_back([this] { Run(); });
  }
}

HttpPeerTransport::~HttpPeerTransport() {
  {
    std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
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
    Job job{address, std::move(request), std::move(done), false};
    if (m_queue.size() >= m_options.max_queued) {
      // Answered first, from a thread of the pool.
      job.refused = true;
      m_queue.push_front(std::move(job));
    } else {
      m_queue.push_back(std::move(job));
    }
  }
  m_wake.notify_one();
}

std::optional<HttpPeerTransport::Job> HttpPeerTransport::Next(bool& stopping) {
  std::unique_lock lock(m_mutex);
  m_wake.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
  stopping = m_stopping;
  if (m_queue.empty()) {
    return std::nullopt;
  }
  Job job = std::move(m_queue.front());
  m_queue.pop_front();
  return job;
}

void HttpPeerTransport::Run() {
  PeerRpcClient client(RpcOptions(m_options));
  bool stopping = false;
  while (std::optional<Job> job = Next(stopping)) {
    if (job->refused || stopping) {
      job->done(std::nullopt);
      continue;
    }
    const uint64_t before = client.bytes();
    ++m_calls;
    std::optional<PeerResponse> response =
        Exchange(client, job->address, job->request);
    m_bytes += client.bytes() - before;
    job->done(std::move(response));
  }
}

}  // namespace wasabihook
