#ifndef SRC_PEERS_CALLER_CALLER_CODEC_H_
#define SRC_PEERS_CALLER_CALLER_CODEC_H_

// PRIVATE HEADER. Wire format of the caller API; docs/caller-api.md is the
// contract.

#include <optional>
#include <stdexcept>
#include <string>

#include "runtime/http_listener.h"
#include "wasabihook/request.h"

namespace wasabihook::caller {

inline constexpr char kRequestIdHeader[] = "X-Request-Id";
inline constexpr char kDeadlineHeader[] = "X-Deadline-Ms";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
inline constexpr char kIssuedAtHeader[] = "Idempotency-Issued-At";

// A request that breaks the contract. what() is one sentence for the caller and
// repeats no data of the request.
class InvalidRequest : public std::runtime_error {
 public:
  InvalidRequest(int status, const std::string& message)
      : std::runtime_error(message), m_status(status) {}
  // HTTP status of the answer.
  int status() const { return m_status; }

 private:
  int m_status;
};

// Kind of request that `path` takes; empty for other paths.
std::optional<RequestKind> KindForPath(const std::string& path);

// The caller's X-Request-Id; empty if it is missing or not acceptable.
std::optional<RequestId> DecodeRequestId(const HttpRequest& request);

// Throws InvalidRequest. `id` is the request's id, the caller's or a generated
// one.
CallerRequest DecodeRequest(const HttpRequest& request, const RequestId& id);

HttpResponse EncodeReply(const Reply& reply);
HttpResponse EncodeAnswer(const Answer& answer);
HttpResponse EncodeError(const ErrorAnswer& error);
// Answer to an InvalidRequest.
HttpResponse EncodeInvalid(const RequestId& id, const InvalidRequest& error);

// HTTP status of an error.
int StatusFor(ErrorCode code);

}  // namespace wasabihook::caller

#endif  // SRC_PEERS_CALLER_CALLER_CODEC_H_
