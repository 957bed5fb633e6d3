#ifndef SRC_GATEWAY_CALLERS_CALLER_BUDGET_H_
#define SRC_GATEWAY_CALLERS_CALLER_BUDGET_H_

// PRIVATE HEADER. Pattern: a crowd of clients that open connections and send
// requests they never finish, beside ordinary callers.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// IPv4 address from which connections come.
using SourceAddress = StrongId<struct SourceAddressTag, uint32_t>;

// A connection of a caller.
class CallerMember {
 public:
  virtual ~CallerMember() = default;
  virtual SourceAddress source() const = 0;
  // Since when the instance waits for this caller; empty while it serves a
  // request of it.
  virtual std::optional<TimePoint> waiting_since() const = 0;
  // Frees the memory of the request that is being read, or of the answer.
  // `close`: closes the connection at once, otherwise it may answer first.
  virtual void GiveUp(bool close) = 0;
};

struct CallerBounds {
  // Bytes of requests that are read or served, and of answers.
  size_t bytes = 0;
  size_t connections = 0;
  // Part of the bytes that requests may have while they are served.
  size_t served_bytes = 0;
};

// Derived from the memory and the descriptors of the process.
CallerBounds ComputeCallerBounds(size_t memory_bytes, size_t max_descriptors);

// What all callers hold together. Beyond a bound, a member of the source that
// holds most is given up: the one that holds most bytes, or that has waited
// longest. A crowd from a few addresses thus shuts out itself. Requests that
// are being served are never given up; further ones are rejected instead, those
// of the busiest source first, so that some connections can be given up for
// others.
class CallerBudget {
 public:
  explicit CallerBudget(const CallerBounds& bounds) : m_bounds(bounds) {}
  CallerBudget(const CallerBudget&) = delete;
  CallerBudget& operator=(const CallerBudget&) = delete;

  // Admits a connection. False if there is no room, because all others are
  // being served.
  bool Add(CallerMember* member);
  void Remove(CallerMember* member);
  // The member holds `bytes` now. It may be given up within the call; returns
  // false then.
  bool SetBytes(CallerMember* member, size_t bytes);
  // A request of the member, with `bytes`, is to be served. False if it has to
  // be rejected; otherwise the bytes count until EndService().
  bool BeginService(CallerMember* member, size_t bytes);
  void EndService(CallerMember* member);

  size_t bytes() const { return m_bytes; }
  size_t connections() const { return m_members.size(); }
  uint64_t given_up() const { return m_given_up; }
  const CallerBounds& bounds() const { return m_bounds; }

 private:
  struct Held {
    size_t bytes = 0;
    size_t served = 0;
    bool serving = false;
  };
  struct SourceUse {
    size_t bytes = 0;
    size_t connections = 0;
    size_t serving = 0;
  };

  void Count(CallerMember* member, size_t before, size_t now);
  // The member to give up, null if there is none. `by_bytes`: for the bound on
  // bytes, otherwise for that on connections.
  CallerMember* Victim(bool by_bytes) const;

  const CallerBounds m_bounds;
  std::unordered_map<CallerMember*, Held> m_members;
  std::unordered_map<SourceAddress, SourceUse> m_sources;
  size_t m_bytes = 0;
  size_t m_served = 0;
  // Members whose requests are being served.
  size_t m_serving = 0;
  uint64_t m_given_up = 0;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_CALLERS_CALLER_BUDGET_H_
