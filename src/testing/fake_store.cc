#include "testing/fake_store.h"

#include <algorithm>
#include <utility>

#include "wasabihook/config.h"

namespace wasabihook::testing {
namespace {

// Number of deletions kept so that watches can detect them.
constexpr size_t kMaxDeletions = 100'000;

template <typename Map>
auto PrefixBegin(const Map& map, const std::string& prefix) {
  return map.lower_bound(prefix);
}

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

GetResult FakeStore::Get(const std::string& key) const {
  auto it = m_entries.find(key);
  if (it == m_entries.end()) {
    return {.status = StoreStatus::kNotFound, .entry = {}};
  }
  return {.status = StoreStatus::kOk,
          .entry = {key, it->second.value, it->second.revision}};
}

ListResult FakeStore::List(const std::string& prefix) const {
  ListResult result{
      .status = StoreStatus::kOk, .entries = {}, .store_revision = m_revision};
  for (auto it = PrefixBegin(m_entries, prefix);
       it != m_entries.end() && HasPrefix(it->first, prefix); ++it) {
    result.entries.push_back(
        {it->first, it->second.value, it->second.revision});
  }
  return result;
}

Revision FakeStore::LatestChange(const std::string& prefix) const {
  Revision latest;
  for (auto it = PrefixBegin(m_entries, prefix);
       it != m_entries.end() && HasPrefix(it->first, prefix); ++it) {
    latest = std::max(latest, it->second.revision);
  }
  for (auto it = PrefixBegin(m_deletions, prefix);
       it != m_deletions.end() && HasPrefix(it->first, prefix); ++it) {
    latest = std::max(latest, it->second);
  }
  return latest;
}

WriteResult FakeStore::CompareAndSwap(const std::string& key,
                                      Revision expected,
                                      std::string value,
                                      uint64_t lease) {
  if (value.size() > config::kMaxPlatformValueBytes ||
      key.size() > config::kMaxPlatformKeyBytes) {
    return {.status = StoreStatus::kTooLarge, .revision = {}, .current = {}};
  }
  if (lease != 0 && m_leases.count(lease) == 0) {
    return {.status = StoreStatus::kNotFound, .revision = {}, .current = {}};
  }
  GetResult stored = Get(key);
  if (stored.entry.revision != expected) {
    return {.status = StoreStatus::kConflict,
            .revision = {},
            .current = stored.status == StoreStatus::kOk
                           ? std::optional(std::move(stored.entry))
                           : std::nullopt};
  }
  m_value_bytes += value.size() - stored.entry.value.size();
  m_deletions.erase(key);
  m_entries[key] = {std::move(value), NextRevision(), lease};
  return {.status = StoreStatus::kOk, .revision = m_revision, .current = {}};
}

WriteResult FakeStore::Delete(const std::string& key, Revision expected) {
  GetResult stored = Get(key);
  if (stored.status != StoreStatus::kOk) {
    return {.status = StoreStatus::kNotFound, .revision = {}, .current = {}};
  }
  if (stored.entry.revision != expected) {
    return {.status = StoreStatus::kConflict,
            .revision = {},
            .current = std::move(stored.entry)};
  }
  Erase(key);
  return {.status = StoreStatus::kOk, .revision = m_revision, .current = {}};
}

void FakeStore::Erase(const std::string& key) {
  auto it = m_entries.find(key);
  m_value_bytes -= it->second.value.size();
  m_entries.erase(it);
  m_deletions[key] = NextRevision();
  m_deletion_order[m_revision] = key;
  if (m_deletion_order.size() > kMaxDeletions) {
    auto oldest = m_deletion_order.begin();
    if (auto entry = m_deletions.find(oldest->second);
        entry != m_deletions.end() && entry->second == oldest->first) {
      m_deletions.erase(entry);
    }
    m_deletion_order.erase(oldest);
  }
}

uint64_t FakeStore::GrantLease(Duration ttl) {
  const uint64_t id = m_next_lease++;
  m_leases[id] = {.ttl = ttl, .generation = 1};
  return id;
}

std::optional<FakeStore::Lease> FakeStore::RenewLease(uint64_t id) {
  auto it = m_leases.find(id);
  if (it == m_leases.end()) {
    return std::nullopt;
  }
  it->second.generation++;
  return it->second;
}

bool FakeStore::IsCurrent(uint64_t id, uint64_t generation) const {
  auto it = m_leases.find(id);
  return it != m_leases.end() && it->second.generation == generation;
}

void FakeStore::ExpireLease(uint64_t id) {
  if (m_leases.erase(id) == 0) {
    return;
  }
  std::vector<std::string> keys;
  for (const auto& [key, entry] : m_entries) {
    if (entry.lease == id) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Erase(key);
  }
}

std::vector<uint64_t> FakeStore::Leases() const {
  std::vector<uint64_t> ids;
  for (const auto& [id, lease] : m_leases) {
    ids.push_back(id);
  }
  return ids;
}

Revision FakeStore::NextRevision() {
  m_revision = Revision(m_revision.value() + 1);
  return m_revision;
}

}  // namespace wasabihook::testing
