// Private. One HTTP exchange with a backend server on a pooled easy handle.
#ifndef SRC_PEERS_BACKEND_TRANSFER_H_
#define SRC_PEERS_BACKEND_TRANSFER_H_

#include <curl/curl.h>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "peers/backend/connection_table.h"
#include "peers/backend/wire.h"
#include "wasabihook/backend.h"

namespace wasabihook {

// Request that received no reply byte before its deadline or progress check.
struct UnansweredRequest {
  TransportClock::time_point opened_at;  // Of its connection.
  TransportClock::time_point sent_at;
};

// State of one backend server, owned by its transport worker.
struct Server {
  ServerId id;
  std::string base_url;
  uint32_t connection_limit = 0;
  // Transfers handed to libcurl; each uses at most one connection.
  uint32_t in_flight = 0;
  // Open connections, oldest first.
  std::vector<Connection*> connections;
  std::deque<Transfer*> queue;
  std::vector<SubRequestId> pending_cancels;
  bool probe_in_flight = false;
  // Last search or fetch whose deadline passed without a reply byte. Reset when
  // the next probe ends.
  std::optional<UnansweredRequest> last_unanswered;
  // Factor on the expected response time. Doubled when a sub-request that moved
  // to another connection is still not answered in time.
  uint32_t timeout_multiplier = 1;
};

enum class TransferKind : uint8_t { kSubRequest, kCancel, kProbe };

struct TransferContext {
  ConnectionTable* connections = nullptr;
  TransportCounters* counters = nullptr;
  const BackendTransportOptions* options = nullptr;
};

struct Transfer {
  explicit Transfer(const TransferContext& context);
  ~Transfer();
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  // Sets the options of the easy handle for the next attempt.
  void Prepare(Duration remaining);
  // Resets the reply and the state of the previous attempt.
  void ClearReply();
  // Unlinks the transfer and its connection from each other.
  void Detach();

  const TransferContext& context;
  CURL* const easy;
  // Changes with each use of a pooled transfer, so that timers of an earlier
  // use are ignored.
  uint64_t serial = 0;
  TransferKind kind = TransferKind::kSubRequest;
  Server* server = nullptr;
  SubRequest request;
  SubReplyCallback done;
  std::string body;
  std::string url;
  TransportClock::time_point deadline;
  TransportClock::time_point sent_at;
  Duration expected_response_time{0};
  Connection* connection = nullptr;
  ReplyHead head;
  std::string reply;

  bool active = false;                // Added to the multi handle.
  bool force_new_connection = false;  // Must use a new connection.
  bool sent = false;                  // This attempt was handed to the server.
  bool ever_sent = false;             // Some attempt was.
  bool needs_new_connection = false;  // The chosen one is not reusable.
  bool connection_limit_hit = false;  // No socket due to the limit.
  bool resend_prevented = false;      // libcurl tried to send again.
  bool too_large = false;             // The reply exceeds max_reply_bytes.
  bool moved = false;  // Moved from an unresponsive connection to another.
  bool awaits_probe = false;
  uint32_t progress_checks = 0;       // Progress checks of this attempt.
  bool progress_checks_done = false;  // No further progress check.

 private:
  static constexpr size_t kMaxHeaders = 8;

  void AddHeader(const char* name, std::string_view value);
  void AddHeader(const char* name, uint64_t value);
  void SetConstantOptions();
  int OnPrerequest(int local_port);

  static curl_socket_t OpenSocket(void* self,
                                  curlsocktype purpose,
                                  curl_sockaddr* address);
  static int CloseSocket(void* table, curl_socket_t fd);
  static int SocketOptions(void* self, curl_socket_t fd, curlsocktype purpose);
  static int Prerequest(void* self, char*, char*, int, int local_port);
  static size_t Header(char* data, size_t size, size_t n, void* self);
  static size_t Body(char* data, size_t size, size_t n, void* self);

  std::array<std::string, kMaxHeaders> m_header_text;
  std::array<curl_slist, kMaxHeaders> m_headers{};
  size_t m_header_count = 0;
  std::string m_current_url;
};

}  // namespace wasabihook

#endif  // SRC_PEERS_BACKEND_TRANSFER_H_
