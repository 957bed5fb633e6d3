#ifndef SRC_PEERS_PLATFORM_CURL_LOOP_H_
#define SRC_PEERS_PLATFORM_CURL_LOOP_H_

#include <curl/curl.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "peers/platform/wire.h"
#include "wasabihook/units.h"

namespace wasabihook::platform {

enum class TransferOutcome : uint8_t {
  kResponded,
  kNotSent,       // No byte of the request was sent.
  kResponseLost,  // The request may have reached the store.
};

struct TransferResult {
  TransferOutcome outcome = TransferOutcome::kNotSent;
  WireResponse response;  // Valid for kResponded.
  Duration elapsed{0};
};

struct Transfer {
  std::string method;
  std::string url;
  std::string body;
  Duration timeout{0};
  // A write is never sent again on a second connection.
  bool is_write = false;
  std::function<void(TransferResult)> done;
};

struct CurlLoopOptions {
  Duration connect_timeout{0};
  Duration idle_timeout{0};
  uint32_t max_concurrent_transfers = 0;
  uint32_t max_connections = 0;
  size_t max_response_bytes = 0;
};

// Runs HTTP transfers with one libcurl multi handle on one thread.
class CurlLoop {
 public:
  // Throws std::runtime_error if libcurl cannot be set up.
  explicit CurlLoop(CurlLoopOptions options);
  // Completes outstanding transfers with kNotSent or kResponseLost.
  ~CurlLoop();

  // Thread-safe; `done` is called once on the loop's thread.
  void Start(Transfer transfer);

 private:
  struct ActiveTransfer;

  void Run();
  // Starts queued transfers. Returns false if the loop is being stopped.
  bool StartQueued();
  void BeginTransfer(Transfer transfer);
  void Configure(ActiveTransfer& active);
  void CompleteFinished();
  void CompleteTransfer(CURL* easy, CURLcode code);
  void AbortAll();
  bool NeedsFreshConnection() const;

  static size_t OnBody(char* data, size_t size, size_t count, void* active);
  static int OnPreRequest(void* active, char*, char*, int, int);
  static int OnSocketCreated(void* loop_options,
                             curl_socket_t socket,
                             curlsocktype type);

  const CurlLoopOptions m_options;
  CURLM* m_multi = nullptr;
  curl_slist* m_headers = nullptr;
  std::map<CURL*, std::unique_ptr<ActiveTransfer>> m_active;
  // After a timeout, other open connections may be dead as well. Transfers open
  // new connections until this time, by which the old ones have exceeded the
  // idle timeout.
  std::chrono::steady_clock::time_point m_fresh_connections_until;

  std::mutex m_mutex;
  std::vector<Transfer> m_queue;
  bool m_stopping = false;

  std::thread m_thread;
};

}  // namespace wasabihook::platform

#endif  // SRC_PEERS_PLATFORM_CURL_LOOP_H_
