#include "testing/fake_backends/corpus.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace wasabihook::testing {
namespace {

constexpr size_t kTermsPerRecord = 3;

std::array<uint32_t, kTermsPerRecord> TermsOf(std::string_view key,
                                              uint64_t index_version) {
  const auto term = [&](uint64_t seed) {
    return static_cast<uint32_t>(XXH64(key.data(), key.size(), seed) %
                                 kCorpusTerms);
  };
  return {term(1), term(2), term(1000 + index_version)};
}

}  // namespace

uint32_t TermOfQuery(std::string_view query) {
  uint32_t term = 0;
  if (query.starts_with('t')) {
    const char* end = query.data() + query.size();
    auto [at, error] = std::from_chars(query.data() + 1, end, term);
    if (error == std::errc() && at == end && query.size() > 1) {
      return term % kCorpusTerms;
    }
  }
  return static_cast<uint32_t>(XXH64(query.data(), query.size(), 0) %
                               kCorpusTerms);
}

std::string RecordKey(std::string_view index_set, uint64_t record) {
  return std::string(index_set) + "-" + std::to_string(record);
}

uint32_t GroupOfKey(std::string_view key, uint32_t groups) {
  return static_cast<uint32_t>(XXH64(key.data(), key.size(), 0) % groups);
}

std::string RecordRow(std::string_view key, uint64_t index_version) {
  nlohmann::ordered_json row = {{"key", key}};
  for (uint32_t term : TermsOf(key, index_version)) {
    row["terms"].push_back("t" + std::to_string(term));
  }
  row["index_version"] = index_version;
  return row.dump();
}

CorpusView::CorpusView(std::string_view index_set,
                       uint64_t records,
                       uint64_t index_version,
                       uint32_t groups)
    : m_groups(groups) {
  for (Group& group : m_groups) {
    group.by_term.resize(kCorpusTerms);
  }
  for (uint64_t i = 0; i < records; ++i) {
    const std::string key = RecordKey(index_set, i);
    Group& group = m_groups[GroupOfKey(key, groups)];
    const std::string row = RecordRow(key, index_version);
    const auto terms = TermsOf(key, index_version);
    for (size_t t = 0; t < terms.size(); ++t) {
      bool repeated = false;
      for (size_t earlier = 0; earlier < t; ++earlier) {
        repeated = repeated || terms[earlier] == terms[t];
      }
      if (!repeated) {
        group.by_term[terms[t]].push_back(row);
      }
    }
    group.rows[key] = row;
  }
}

const std::vector<std::string>& CorpusView::Search(
    uint32_t group,
    std::string_view query) const {
  return m_groups[group].by_term[TermOfQuery(query)];
}

const std::string* CorpusView::Fetch(uint32_t group,
                                     const std::string& key) const {
  auto found = m_groups[group].rows.find(key);
  return found == m_groups[group].rows.end() ? nullptr : &found->second;
}

Corpus::Corpus(std::string index_set, uint64_t records)
    : m_index_set(std::move(index_set)), m_records(records) {}

std::shared_ptr<const CorpusView> Corpus::View(uint64_t index_version,
                                               uint32_t groups) const {
  std::lock_guard lock(m_mutex);
  std::shared_ptr<const CorpusView>& view = m_views[{index_version, groups}];
  if (!view) {
    view = std::make_shared<CorpusView>(m_index_set, m_records, index_version,
                                        groups);
  }
  return view;
}

}  // namespace wasabihook::testing
