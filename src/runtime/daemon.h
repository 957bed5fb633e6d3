#ifndef SRC_RUNTIME_DAEMON_H_
#define SRC_RUNTIME_DAEMON_H_

// PRIVATE HEADER.

#include <atomic>
#include <memory>
#include <string>

#include "peers/caller/caller_service.h"
#include "runtime/daemon_components.h"
#include "runtime/http_listener.h"
#include "runtime/shutdown_control.h"
#include "runtime/start_config.h"

namespace wasabihook {

// Exit statuses of wasabihookd.
inline constexpr int kExitDrained = 0;
inline constexpr int kExitStartFailed = 1;
// Requests in flight were cut off.
inline constexpr int kExitRequestsAborted = 3;

// One instance of the tier: listeners, decision logic and transports. Serves
// from construction on.
class Daemon {
 public:
  // Throws std::runtime_error if an address cannot be bound.
  Daemon(StartConfig config, std::string version);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // The first call turns readiness off and starts the drain, the second ends
  // the drain early. Returns at once; thread-safe.
  void RequestShutdown();
  // Waits for RequestShutdown() and carries it out: keeps serving for the
  // notice period, refuses new work, finishes every request in flight. Returns
  // kExitDrained, or kExitCut if the limit or a second request cut requests.
  int Wait();

  // Bound addresses, "ip:port".
  const std::string& caller_address() const;
  const std::string& peer_address() const;
  const std::string& admin_address() const;
  // Knows the settings and is not draining.
  bool ready() const;

 private:
  bool has_settings() const;
  void HandleCaller(const HttpRequest& request, HttpResponder responder);
  void HandleAdmin(const HttpRequest& request, const HttpResponder& responder);
  // Answers /healthz, /readyz and /metrics; false for other paths.
  bool HandleMonitoring(const HttpRequest& request,
                        const HttpResponder& responder);
  void AddSampledMetrics();
  Duration DrainNotice() const;
  Duration DrainLimit() const;
  void HandOver();
  void LogAbortedRequests() const;

  const StartConfig m_config;
  const std::string m_version;
  const TimePoint m_started;
  ShutdownControl m_shutdown;
  std::atomic<bool> m_drained{false};
  DaemonComponents m_components;
  caller::CallerService m_callers;
  std::unique_ptr<HttpListener> m_admin_listener;
  std::unique_ptr<HttpListener> m_caller_listener;
};

}  // namespace wasabihook

#endif  // SRC_RUNTIME_DAEMON_H_
