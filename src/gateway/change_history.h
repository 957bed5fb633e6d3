#ifndef SRC_GATEWAY_CHANGE_HISTORY_H_
#define SRC_GATEWAY_CHANGE_HISTORY_H_

// PRIVATE HEADER. Pattern: followers that lag behind a stream of changes, each
// of which may be large and replaces the one before.

#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/platform_adapter.h"

namespace wasabihook::gateway {

// The keys of the store and their recent changes, for instances that follow
// this one. Of each key only the newest value is kept, so the memory depends on
// what the store holds and not on how often it is written.
class ChangeHistory {
 public:
  // `max_removals`: removed keys that are remembered. Followers from before the
  // oldest have to read all keys again.
  explicit ChangeHistory(size_t max_removals) : m_max_removals(max_removals) {}

  // Starts again at `position` with the keys of `items`.
  void Reset(const std::vector<StoreItem>& items, StorePosition position);
  // Changes are added in the order in which the store made them.
  void Add(const StoreItem& item);

  // False if changes after this position are missing.
  bool Reaches(StorePosition after) const { return after >= m_start; }
  // Calls `visit` with the changes after a position that Reaches(), without
  // superseded ones.
  using Visitor = std::function<void(const StoreItem&)>;
  void VisitChanges(StorePosition after, const Visitor& visit) const;
  // Calls `visit` with all keys that exist.
  void VisitContent(const Visitor& visit) const;

  // Keys and values, and the removed keys that are remembered.
  size_t bytes() const { return m_bytes; }
  size_t removals() const { return m_removals; }

 private:
  using Changes = std::list<StoreItem>;

  void Erase(Changes::iterator change);
  void ForgetOldestRemoval();

  const size_t m_max_removals;
  StorePosition m_start;
  // In the order of their changes; a removed key has an entry without a value.
  Changes m_changes;
  std::unordered_map<std::string, Changes::iterator> m_by_key;
  size_t m_bytes = 0;
  size_t m_removals = 0;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_CHANGE_HISTORY_H_
