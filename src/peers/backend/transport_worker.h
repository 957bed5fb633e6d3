// Private. Event-loop thread of the transport with its servers and connections.
#ifndef SRC_PEERS_BACKEND_TRANSPORT_WORKER_H_
#define SRC_PEERS_BACKEND_TRANSPORT_WORKER_H_

#include <curl/curl.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <queue>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "peers/backend/connection_table.h"
#include "peers/backend/transfer.h"
#include "peers/backend/transport_options.h"

namespace wasabihook {

// Event loop over one libcurl multi handle. The public functions are
// thread-safe; everything else runs on the worker thread.
class TransportWorker {
 public:
  // `on_callback_done` is called after the callback of each Send().
  TransportWorker(const BackendTransportOptions& options,
                  std::function<void()> on_callback_done);
  ~TransportWorker();
  TransportWorker(const TransportWorker&) = delete;
  TransportWorker& operator=(const TransportWorker&) = delete;

  void Send(SubRequest request, SubReplyCallback done);
  // Returns false if no sub-request with this id is pending here.
  bool Cancel(const SubRequestId& id);
  void SetConnectionLimit(const ServerId& server, uint32_t limit);
  // Cancels all pending sub-requests; later ones complete with kCancelled at
  // once.
  void Stop();
  // Ends the thread. No sub-request may be pending.
  void Join();
  const TransportCounters& counters() const { return m_counters; }

 private:
  using Clock = TransportClock;
  struct SendCommand {
    SubRequest request;
    SubReplyCallback done;
    Clock::time_point deadline;
  };
  struct CancelCommand {
    SubRequestId id;
  };
  struct LimitCommand {
    ServerId server;
    uint32_t limit;
  };
  struct StopCommand {};
  struct ExitCommand {};
  using Command = std::variant<SendCommand,
                               CancelCommand,
                               LimitCommand,
                               StopCommand,
                               ExitCommand>;
  struct Timer {
    Clock::time_point when;
    Transfer* transfer;
    uint64_t serial;
    bool operator>(const Timer& other) const { return when > other.when; }
  };

  // Commands.
  void Post(Command command);
  void RunCommands();
  void Run(SendCommand command);
  void Run(CancelCommand command);
  void Run(LimitCommand command);
  void Run(StopCommand);
  void Run(ExitCommand);

  // Event loop.
  void Loop();
  int WaitMs();
  void HandleEvent(uint64_t data, uint32_t events);
  void RunCurlTimer();
  void ReadCompletions();
  void RunTimers();

  // Transfers.
  Server* FindServer(const ServerId& id);
  Transfer* NewTransfer(TransferKind kind, Server* server);
  void Release(Transfer* transfer);
  void SetTimer(Transfer* transfer, Clock::time_point when);
  void Enqueue(Transfer* transfer);
  void StartQueued(Server* server);
  void Start(Transfer* transfer);
  void StartCancel(Server* server);
  // Removes the transfer from the server's queue or from libcurl, which closes
  // the connection of an unfinished transfer.
  void Unschedule(Transfer* transfer);
  void Complete(Transfer* transfer, CURLcode code);
  void CompleteSubRequest(Transfer* transfer,
                          CURLcode code,
                          DecodedReply decoded);
  void FinishSubRequest(Transfer* transfer, SubOutcome outcome);
  void FinishSubRequest(Transfer* transfer, SubReply reply);
  void CountInvalid(const Transfer& transfer, InvalidReplyCause cause);
  void Requeue(Transfer* transfer, bool force_new_connection);

  // Timers and unresponsive connections
  // (transport_worker_timeouts.cc).
  void OnTimer(Transfer* transfer, Clock::time_point now);
  void OnDeadline(Transfer* transfer);
  void OnProgressTimeout(Transfer* transfer);
  Clock::time_point ProgressDeadline(const Transfer& transfer) const;
  bool StartProbe(Server* server);
  void OnProbeDone(Transfer* probe, bool answered);
  bool IsUnresponsive(const Transfer& transfer) const;
  static bool IsUnresponsive(const Server& server,
                             const UnansweredRequest& request);
  void MarkSuspect(Server* server, Clock::time_point cutoff);
  void MoveToOtherConnection(Transfer* transfer, Clock::time_point cutoff);

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*);
  static int OnCurlTimer(CURLM*, long timeout_ms, void* self);

  const BackendTransportOptions m_options;
  const std::function<void()> m_on_callback_done;
  TransportCounters m_counters;
  int m_epoll;
  int m_wake_fd;
  CURLM* m_multi;
  ConnectionTable m_connections;
  TransferContext m_context;
  std::optional<Clock::time_point> m_curl_timer;
  std::unordered_map<ServerId, std::unique_ptr<Server>> m_servers;
  std::unordered_map<SubRequestId, Transfer*> m_sub_requests;
  std::vector<std::unique_ptr<Transfer>> m_transfers;
  std::vector<Transfer*> m_free_transfers;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
  uint64_t m_next_serial = 1;
  bool m_stopping = false;
  bool m_exit = false;

  std::mutex m_mutex;
  std::vector<Command> m_commands;                 // Guarded by m_mutex.
  std::unordered_set<SubRequestId> m_pending_ids;  // Guarded by m_mutex.
  // Worker thread only. To be removed from m_pending_ids.
  std::vector<SubRequestId> m_finished_ids;
  std::vector<Command> m_running_commands;
  std::thread m_thread;
};

}  // namespace wasabihook

#endif  // SRC_PEERS_BACKEND_TRANSPORT_WORKER_H_
