#ifndef SRC_TESTING_FAKE_STORE_H_
#define SRC_TESTING_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wasabihook/platform.h"

namespace wasabihook::testing {

// State machine of the key-value service: compare-and-swap, revisions that
// increase across the store, prefix lists and leases. Not thread-safe. Has no
// clock; the caller expires the leases.
class FakeStore {
 public:
  GetResult Get(const std::string& key) const;
  ListResult List(const std::string& prefix) const;
  // Revision of the latest change of a key with this prefix, deletions
  // included.
  Revision LatestChange(const std::string& prefix) const;
  // `lease` 0 attaches no lease. Returns kNotFound for an expired lease.
  WriteResult CompareAndSwap(const std::string& key,
                             Revision expected,
                             std::string value,
                             uint64_t lease);
  WriteResult Delete(const std::string& key, Revision expected);

  // Each renewal increments the generation, so that expiry timers of earlier
  // generations can be ignored.
  struct Lease {
    Duration ttl{0};
    uint64_t generation = 1;
  };
  uint64_t GrantLease(Duration ttl);
  // Empty if the lease has expired.
  std::optional<Lease> RenewLease(uint64_t id);
  bool IsCurrent(uint64_t id, uint64_t generation) const;
  // Removes the lease and its keys.
  void ExpireLease(uint64_t id);
  std::vector<uint64_t> Leases() const;

  Revision revision() const { return m_revision; }
  uint64_t size() const { return m_entries.size(); }
  uint64_t value_bytes() const { return m_value_bytes; }

 private:
  struct Entry {
    std::string value;
    Revision revision;
    uint64_t lease = 0;
  };

  Revision NextRevision();
  void Erase(const std::string& key);

  Revision m_revision;
  uint64_t m_next_lease = 1;
  uint64_t m_value_bytes = 0;
  std::map<std::string, Entry> m_entries;
  std::map<std::string, Revision> m_deletions;
  std::map<Revision, std::string> m_deletion_order;
  std::map<uint64_t, Lease> m_leases;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_STORE_H_
