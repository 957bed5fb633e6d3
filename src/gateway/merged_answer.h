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
  // Number of replies that the answer contains.
  size_t merged = 0;
  // Shards whose reply was left out because another shard sent the same proof.
  // A repeated proof would make the answer invalid.
  std::vector<ServiceName> duplicates;
};

// Merges `replies` into an answer with their `top_records` greatest records.
// `shards` is the number of shards of the route, from which the number of
// missing parts is stated.
MergedAnswer MergeReplies(std::vector<PartReply> replies,
                          size_t shards,
                          const std::string& request_id,
                          uint32_t top_records,
                          const HeaderNames& names);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_MERGED_ANSWER_H_
