#ifndef SRC_GATEWAY_STORE_POSITION_H_
#define SRC_GATEWAY_STORE_POSITION_H_

// PRIVATE HEADER. Pattern: a store that comes back from an older copy. It has
// lost its last changes and gives out their revisions again.

#include <compare>
#include <cstdint>
#include <optional>

#include "wasabihook/ids.h"

namespace wasabihook::gateway {

// Number of times that the store was restored from a copy; 0 if it never says.
using StoreEra = StrongId<struct StoreEraTag, uint64_t>;

// Position in the history of the store. Revisions of different eras can't be
// compared: a later era has newer content at a lower revision.
struct StorePosition {
  StoreEra era;
  Revision revision;

  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

// What the era of a reply says about the history that an instance follows.
enum class ReplyEra : uint8_t {
  kSame,
  // The store was restored since: changes from before may be lost and later
  // ones may have been missed, so all keys have to be read again.
  kRestored,
  // The reply is from before the store was restored.
  kStale,
};

// `reply` is empty if the reply does not state its era.
inline ReplyEra JudgeEra(StoreEra followed, std::optional<StoreEra> reply) {
  if (!reply || *reply == followed)
    return ReplyEra::kSame;
  return *reply > followed ? ReplyEra::kRestored : ReplyEra::kStale;
}

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_STORE_POSITION_H_
