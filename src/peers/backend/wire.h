// Private. Wire format of the backend protocol; see docs/backend-protocol.md.
#ifndef SRC_PEERS_BACKEND_WIRE_H_
#define SRC_PEERS_BACKEND_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wasabihook/backend.h"

namespace wasabihook {

namespace wire {
inline constexpr char kRequestIdHeader[] = "X-Request-Id";
inline constexpr char kDeadlineHeader[] = "X-Deadline-Ms";
inline constexpr char kIndexVersionHeader[] = "X-Index-Version";
inline constexpr char kMapVersionHeader[] = "X-Map-Version";
inline constexpr char kShardGroupHeader[] = "X-Shard-Group";
inline constexpr char kCancelPath[] = "/v1/cancel";
inline constexpr char kHealthPath[] = "/v1/health";
}  // namespace wire

// Reason why a reply was rejected as invalid; logged as `cause`.
enum class InvalidReplyCause : uint8_t {
  kRequestId,
  kSnapshot,
  kGroup,
  kLength,
  kRowCount,
  kBody,
  kTooLarge,
  kProtocol,
};
inline constexpr size_t kInvalidReplyCauseCount = 8;
std::string_view ToString(InvalidReplyCause cause);

// Status and the headers of a reply that validation needs.
struct ReplyHead {
  int status = 0;
  std::optional<std::string> request_id;
  std::optional<uint64_t> index_version;
  std::optional<uint64_t> map_version;
  std::optional<std::string> group;
  std::optional<uint64_t> content_length;
  std::optional<uint64_t> retry_after_seconds;
  // A required header occurs twice or has an invalid value, or a
  // Transfer-Encoding header is present.
  bool malformed = false;

  void Clear() { *this = ReplyHead(); }
  // Parses one header line, with or without its line terminator. A status line
  // discards the preceding headers.
  void AddLine(std::string_view line);
};

struct DecodedReply {
  SubReply reply;
  // Set if reply.outcome is kInvalidReply.
  std::optional<InvalidReplyCause> invalid;
};

std::string_view PathFor(RequestKind kind);
// Encodes the JSON body; replaces invalid UTF-8.
std::string EncodeBody(const SubRequest& request);
std::string EncodeCancelBody(const std::vector<SubRequestId>& ids);
// Remaining time in whole milliseconds, rounded down, at least 1.
uint64_t DeadlineMs(Duration remaining);

// Validates a complete reply against its sub-request and decodes it.
DecodedReply DecodeReply(const SubRequest& request,
                         const ReplyHead& head,
                         std::string_view body);

// Parses a decimal number without sign or spaces. Returns nullopt if the text
// is anything else or the value overflows.
std::optional<uint64_t> ParseUnsigned(std::string_view text);

}  // namespace wasabihook

#endif  // SRC_PEERS_BACKEND_WIRE_H_
