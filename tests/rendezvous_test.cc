#include "decision/routing/rendezvous.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace wasabihook {
namespace {

std::vector<std::string> Winners(const std::string& key,
                                 const std::vector<std::string>& candidates,
                                 size_t k) {
  std::vector<std::string> names;
  for (size_t index : RendezvousTopK(key, candidates, k)) {
    names.push_back(candidates[index]);
  }
  return names;
}

std::vector<std::string> Distinct(const std::set<std::string>& names) {
  return {names.begin(), names.end()};
}

// Guards against winners that depend on the order of the candidates.
RC_GTEST_PROP(RendezvousTest, DoesNotDependOnOrder, ()) {
  auto names = Distinct(*rc::gen::arbitrary<std::set<std::string>>());
  const auto key = *rc::gen::arbitrary<std::string>();
  const auto k = *rc::gen::inRange<size_t>(0, 6);
  const auto before = Winners(key, names, k);
  RC_ASSERT(before.size() == std::min(k, names.size()));
  std::reverse(names.begin(), names.end());
  RC_ASSERT(Winners(key, names, k) == before);
}

// Guards against remapping keys that the removed candidate did not hold.
RC_GTEST_PROP(RendezvousTest, RemovingAnotherMemberKeepsWinners, ()) {
  auto names = Distinct(
      *rc::gen::suchThat(rc::gen::arbitrary<std::set<std::string>>(),
                         [](const auto& set) { return set.size() >= 2; }));
  const auto key = *rc::gen::arbitrary<std::string>();
  const auto removed = *rc::gen::inRange<size_t>(0, names.size());
  auto all = Winners(key, names, names.size());
  std::erase(all, names[removed]);
  names.erase(names.begin() + static_cast<ptrdiff_t>(removed));
  RC_ASSERT(Winners(key, names, names.size()) == all);
}

// Guards against a skewed distribution of keys over the candidates.
TEST(RendezvousTest, SpreadsKeysEvenly) {
  std::vector<std::string> names;
  for (int i = 0; i < 8; ++i) {
    names.push_back("10.0.0." + std::to_string(i) + ":7000");
  }
  std::vector<int> wins(names.size());
  for (int i = 0; i < 8000; ++i) {
    ++wins[RendezvousTopK("key-" + std::to_string(i), names, 1).at(0)];
  }
  for (int count : wins) {
    EXPECT_GT(count, 850);
    EXPECT_LT(count, 1150);
  }
}

}  // namespace
}  // namespace wasabihook
