// Private. Records of the fake servers, which also give the expected answers.
#ifndef SRC_TESTING_FAKE_BACKENDS_CORPUS_H_
#define SRC_TESTING_FAKE_BACKENDS_CORPUS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wasabihook::testing {

// Immutable view of the records of one index set at one index version, divided
// into shard groups.
class CorpusView {
 public:
  CorpusView(std::string_view index_set,
             uint64_t records,
             uint64_t index_version,
             uint32_t groups);

  // Rows (JSON text) of `group` that match a query.
  const std::vector<std::string>& Search(uint32_t group,
                                         std::string_view query) const;
  // Row of `key`, or null if it is not in `group`.
  const std::string* Fetch(uint32_t group, const std::string& key) const;
  uint64_t Records(uint32_t group) const { return m_groups[group].rows.size(); }
  uint32_t groups() const { return static_cast<uint32_t>(m_groups.size()); }

 private:
  struct Group {
    std::unordered_map<std::string, std::string> rows;  // By key.
    std::vector<std::vector<std::string>> by_term;
  };

  std::vector<Group> m_groups;
};

// Deterministic records of one index set. Record i has the key "<set>-<i>" and
// three terms. The last term depends on the index version, so that answers of
// different versions differ. Thread-safe.
class Corpus {
 public:
  Corpus(std::string index_set, uint64_t records);

  std::shared_ptr<const CorpusView> View(uint64_t index_version,
                                         uint32_t groups) const;
  uint64_t records() const { return m_records; }

 private:
  const std::string m_index_set;
  const uint64_t m_records;
  mutable std::mutex m_mutex;
  mutable std::map<std::pair<uint64_t, uint32_t>,
                   std::shared_ptr<const CorpusView>>
      m_views;
};

inline constexpr uint32_t kCorpusTerms = 512;

// Term that a query searches for: "t<number>" selects it by number (modulo
// kCorpusTerms), any other text by hash.
uint32_t TermOfQuery(std::string_view query);
std::string RecordKey(std::string_view index_set, uint64_t record);
uint32_t GroupOfKey(std::string_view key, uint32_t groups);
// JSON text of a record.
std::string RecordRow(std::string_view key, uint64_t index_version);

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKENDS_CORPUS_H_
