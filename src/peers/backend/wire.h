// Private. Wire format to backend servers; see docs/backend-protocol.md.
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

// Why a reply was dropped; label of a metric.
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

// Status line and headers of a reply that the checks need.
struct ReplyHead {
  int status = 0;
  std::optional<std::string> request_id;
  std::optional<uint64_t> index_version;
  std::optional<uint64_t> map_version;
  std::optional<std::string> group;
  std::optional<uint64_t> content_length;
  std::optional<uint64_t> retry_after_seconds;
  // A header that matters occurred twice, was not a number, or the body was
  // sent in chunks.
  bool malformed = false;

  void Clear() { *this = ReplyHead(); }
  // Takes one header line, with or without its line end. A status line starts
  // a new head.
  void AddLine(std::string_view line);
};

struct DecodedReply {
  SubReply reply;
  // Set if reply.outcome is kInvalidReply.
  std::optional<InvalidReplyCause> invalid;
};

std::string_view PathFor(RequestKind kind);
// JSON body; invalid UTF-8 is replaced.
std::string EncodeBody(const SubRequest& request);
std::string EncodeCancelBody(const std::vector<SubRequestId>& ids);
// Time left in whole milliseconds, rounded down, at least 1.
uint64_t DeadlineMs(Duration remaining);

// Checks a whole reply against the sub-request it should answer.
DecodedReply DecodeReply(const SubRequest& request,
                         const ReplyHead& head,
                         std::string_view body);

// Decimal number without sign or blanks; empty if it is not one or overflows.
std::optional<uint64_t> ParseUnsigned(std::string_view text);

}  // namespace wasabihook

#endif  // SRC_PEERS_BACKEND_WIRE_H_
