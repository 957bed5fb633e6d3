#ifndef SRC_GATEWAY_MERGED_ANSWER_H_
#define SRC_GATEWAY_MERGED_ANSWER_H_

// PRIVATE HEADER.

#include <cstdint>
#include <string>
#include <vector>

#include "gateway/caller_listener.h"
#include "gateway/platform_adapter.h"

namespace wasabihook::gateway {

// Reply of one shard.
struct PartReply {
  ServiceName service;
  std::string proof;
  std::string body;
};

struct MergedAnswer {
  OutboundResponse response;
  // Replies that are in the answer.
  size_t merged = 0;
  // Shards whose proof another shard had as well. They are left out: a proof
  // that stands twice would make the whole answer worthless.
  std::vector<ServiceName> duplicates;
};

// Answer with the greatest `top_records` records of `replies`, out of `shards`
// shards that were asked.
MergedAnswer MergeReplies(std::vector<PartReply> replies,
                          size_t shards,
                          const std::string& request_id,
                          uint32_t top_records,
                          const HeaderNames& names);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_MERGED_ANSWER_H_
