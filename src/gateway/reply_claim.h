#ifndef SRC_GATEWAY_REPLY_CLAIM_H_
#define SRC_GATEWAY_REPLY_CLAIM_H_

// PRIVATE HEADER. Pattern: a late copy of a reply on a connection that is in
// use again.

#include <cstddef>
#include <cstdint>

namespace wasabihook::gateway {

// What the head of a reply shows.
struct ReplyHead {
  int status = 0;
  // Fields with a request id, and whether they hold that of the current
  // request.
  size_t ids = 0;
  bool id_matches = false;
  // An earlier request was sent on the connection.
  bool reused = false;
  // The next message on the connection can be found: this one has a length or
  // chunks, its end does not depend on the method of the request, and the
  // connection stays open.
  bool delimited = false;
};

// To which request a reply belongs.
enum class ReplyClaim : uint8_t {
  kOwn,
  kInterim,  // 1xx: the reply follows.
  kEarlier,  // To an earlier request: dropped, the reply follows.
  kUnknown,  // None that can be named: no reply, and nothing can follow.
};
const char* ToString(ReplyClaim claim);

// A copy carries the id of the earlier request. If a reply has no id, it can
// only be told apart on a connection that has not been used before.
ReplyClaim DecideClaim(const ReplyHead& head);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_REPLY_CLAIM_H_
