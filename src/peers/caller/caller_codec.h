#ifndef SRC_PEERS_CALLER_CALLER_CODEC_H_
#define SRC_PEERS_CALLER_CALLER_CODEC_H_

// Private. Wire format of the caller API, as specified in docs/caller-api.md.

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

// Request that violates the caller API. what() is one sentence for the caller
// and contains no data of the request.
class InvalidRequest : public std::runtime_error {
 public:
  InvalidRequest(int status, const std::string& message)
      : std::runtime_error(message), m_status(status) {}
  // HTTP status of the response.
  int status() const { return m_status; }

 private:
  int m_status;
};

// Returns the kind of request that `path` serves, or nullopt if there is no
// such path.
std::optional<RequestKind> KindForPath(const std::string& path);

// Returns the caller's X-Request-Id, or nullopt if it is missing or invalid.
std::optional<RequestId> DecodeRequestId(const HttpRequest& request);

// Throws InvalidRequest. `id` is the caller's request id or, if it sent none, a
// generated one.
CallerRequest DecodeRequest(const HttpRequest& request, const RequestId& id);

HttpResponse EncodeReply(const Reply& reply);
HttpResponse EncodeAnswer(const Answer& answer);
HttpResponse EncodeError(const ErrorAnswer& error);
// Encodes the response to an invalid request.
HttpResponse EncodeInvalid(const RequestId& id, const InvalidRequest& error);

// Returns the HTTP status of an error.
int StatusFor(ErrorCode code);

}  // namespace wasabihook::caller

#endif  // SRC_PEERS_CALLER_CALLER_CODEC_H_
