#ifndef WASABIHOOK_IDS_H_
#define WASABIHOOK_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace wasabihook {

// Strongly typed id, so that ids of different kinds can't be confused. `Rep` is
// std::string or an unsigned integer.
template <typename Tag, typename Rep>
class StrongId {
 public:
  using RepType = Rep;

  StrongId() = default;
  explicit StrongId(Rep value) : m_value(std::move(value)) {}

  const Rep& value() const { return m_value; }

  friend bool operator==(const StrongId&, const StrongId&) = default;
  friend auto operator<=>(const StrongId&, const StrongId&) = default;

 private:
  Rep m_value{};
};

// A tenant of the deployment; owns one settings subtree.
using TeamId = StrongId<struct TeamTag, std::string>;
// A set of shard groups that is searched as a whole.
using IndexSetId = StrongId<struct IndexSetTag, std::string>;
// A set of replicas that hold the same shard.
using ShardGroupId = StrongId<struct ShardGroupTag, std::string>;
// A backend server, named by "ip:port".
using ServerId = StrongId<struct ServerTag, std::string>;
// A machine that runs one daemon of this project, named by its settings.
using InstanceId = StrongId<struct InstanceTag, std::string>;
// Availability zone.
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
// Random number drawn at process start; distinguishes a restarted or replaced
// instance from its predecessor.
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;
// Request id from the caller, or generated if the caller sent none.
using RequestId = StrongId<struct RequestTag, std::string>;
// Unique across instances, restarts and attempts.
using SubRequestId = StrongId<struct SubRequestTag, std::string>;
// Key from the caller that identifies a non-idempotent operation within a team.
using IdempotencyKey = StrongId<struct IdempotencyTag, std::string>;
// Version of the indexed data.
using IndexVersion = StrongId<struct IndexVersionTag, uint64_t>;
// Version of the assignment of records to shard groups.
using MapVersion = StrongId<struct MapVersionTag, uint64_t>;
// Revision of a key in the platform's key-value service; 0 means "no value".
using Revision = StrongId<struct RevisionTag, uint64_t>;
// XXH64 of the content of a request.
using Fingerprint = StrongId<struct FingerprintTag, uint64_t>;

// Typed handles; 0 is invalid.
using QueryHandle = StrongId<struct QueryHandleTag, uint64_t>;
using TimerHandle = StrongId<struct TimerHandleTag, uint64_t>;
using SubscriptionHandle = StrongId<struct SubscriptionHandleTag, uint64_t>;

}  // namespace wasabihook

template <typename Tag, typename Rep>
struct std::hash<wasabihook::StrongId<Tag, Rep>> {
  size_t operator()(const wasabihook::StrongId<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>{}(id.value());
  }
};

#endif  // WASABIHOOK_IDS_H_
