#include "gateway/reply_claim.h"

namespace wasabihook::gateway {
namespace {

constexpr int kFirstFinalStatus = 200;

}  // namespace

const char* ToString(ReplyClaim claim) {
  switch (claim) {
    case ReplyClaim::kOwn:
      return "own";
    case ReplyClaim::kInterim:
      return "interim";
    case ReplyClaim::kEarlier:
      return "earlier";
    case ReplyClaim::kUnknown:
      return "unknown";
  }
  return "unknown";
}

ReplyClaim DecideClaim(const ReplyHead& head) {
  if (head.status < kFirstFinalStatus)
    return ReplyClaim::kInterim;
  if (head.ids == 0)
    return head.reused ? ReplyClaim::kUnknown : ReplyClaim::kOwn;
  if (head.ids == 1 && head.id_matches)
    return ReplyClaim::kOwn;
  return head.ids == 1 && head.delimited ? ReplyClaim::kEarlier
                                         : ReplyClaim::kUnknown;
}

}  // namespace wasabihook::gateway
