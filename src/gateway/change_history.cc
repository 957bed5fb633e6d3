#include "gateway/change_history.h"

#include <algorithm>
#include <utility>

namespace wasabihook::gateway {
namespace {

size_t BytesOf(const StoreItem& item) {
  return item.key.size() + item.value.size();
}

}  // namespace

void ChangeHistory::Reset(const std::vector<StoreItem>& items,
                          StorePosition position) {
  m_changes.clear();
  m_by_key.clear();
  m_bytes = 0;
  m_removals = 0;
  for (const StoreItem& item : items)
    Add(item);
  m_start = position;
}

void ChangeHistory::Add(const StoreItem& item) {
  if (const auto known = m_by_key.find(item.key); known != m_by_key.end())
    Erase(known->second);
  m_changes.push_back(item);
  m_by_key[item.key] = std::prev(m_changes.end());
  m_bytes += BytesOf(item);
  if (item.removed && ++m_removals > m_max_removals)
    ForgetOldestRemoval();
}

void ChangeHistory::Erase(Changes::iterator change) {
  m_bytes -= BytesOf(*change);
  m_removals -= change->removed ? 1 : 0;
  m_by_key.erase(change->key);
  m_changes.erase(change);
}

void ChangeHistory::ForgetOldestRemoval() {
  const auto oldest =
      std::find_if(m_changes.begin(), m_changes.end(),
                   [](const StoreItem& item) { return item.removed; });
  m_start = std::max(m_start, oldest->position());
  Erase(oldest);
}

void ChangeHistory::VisitChanges(StorePosition after,
                                 const Visitor& visit) const {
  // Most followers lack the newest changes only.
  auto first = m_changes.end();
  while (first != m_changes.begin() && std::prev(first)->position() > after)
    --first;
  std::for_each(first, m_changes.end(), visit);
}

void ChangeHistory::VisitContent(const Visitor& visit) const {
  for (const StoreItem& item : m_changes) {
    if (!item.removed)
      visit(item);
  }
}

}  // namespace wasabihook::gateway
