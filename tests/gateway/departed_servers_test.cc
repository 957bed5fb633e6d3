// Pattern: a registry that comes back from an older copy and lists servers
// again that have left since.

#include "gateway/departed_servers.h"

#include <gtest/gtest.h>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

constexpr TimePoint kNow{seconds(10)};
const StorePosition kLeft{.era = StoreEra(1), .revision = Revision(90)};
const StorePosition kRestored{.era = StoreEra(2), .revision = Revision(70)};

ServerEntry Entry(int64_t started_at_ms, std::optional<uint64_t> sequence) {
  ServerEntry out;
  out.id = ServerId("i-1");
  out.started_at_ms = started_at_ms;
  out.sequence = sequence;
  return out;
}

class DepartedServersTest : public ::testing::Test {
 protected:
  DepartedServersTest() { m_departed.Add(Entry(1000, 7), kLeft, kNow); }
  DepartedServers m_departed;
};

// Guards against requests to a server that had left before the store went back.
TEST_F(DepartedServersTest, KnowsWhatTheServerHadSaidBefore) {
  EXPECT_TRUE(m_departed.IsListedAgain(Entry(1000, 5), kRestored, true));
  EXPECT_TRUE(m_departed.IsListedAgain(Entry(1000, 7), kRestored, true));
  EXPECT_TRUE(m_departed.IsListedAgain(Entry(900, 40), kRestored, true));
  // Written again by whoever repeats what was lost.
  EXPECT_TRUE(m_departed.IsListedAgain(Entry(1000, 7), kRestored, false));
}

// Guards against a live server that is never used again: its lease had ended
// by mistake, it has started again, or another server has the id.
TEST_F(DepartedServersTest, ServerThatSaysMoreIsUsed) {
  EXPECT_FALSE(m_departed.IsListedAgain(Entry(1000, 8), kRestored, true));
  EXPECT_FALSE(m_departed.IsListedAgain(Entry(1001, 1), kRestored, true));
  // Its clock is behind, and it writes now.
  EXPECT_FALSE(m_departed.IsListedAgain(Entry(900, 1), kRestored, false));
  // It says nothing that could be compared.
  EXPECT_FALSE(
      m_departed.IsListedAgain(Entry(1000, std::nullopt), kRestored, true));
}

TEST_F(DepartedServersTest, EntryReturnsInTheSameHistory) {
  const StorePosition later{.era = kLeft.era, .revision = Revision(95)};
  EXPECT_FALSE(m_departed.IsListedAgain(Entry(1000, 7), later, true));
}

TEST_F(DepartedServersTest, MemoryIsBounded) {
  m_departed.Sweep(kNow + kDepartedServerMemory);
  EXPECT_EQ(m_departed.size(), 1U);
  m_departed.Sweep(kNow + kDepartedServerMemory + seconds(1));
  EXPECT_EQ(m_departed.size(), 0U);
  for (size_t i = 0; i < kMaxDepartedServers + 10; ++i) {
    ServerEntry entry = Entry(1000, 1);
    entry.id = ServerId("i-" + std::to_string(i));
    m_departed.Add(entry, kLeft, kNow + milliseconds(i));
  }
  EXPECT_EQ(m_departed.size(), kMaxDepartedServers);
  EXPECT_TRUE([this] {
    ServerEntry last = Entry(1000, 1);
    last.id = ServerId("i-" + std::to_string(kMaxDepartedServers + 9));
    return m_departed.IsListedAgain(last, kRestored, true);
  }());
}

}  // namespace
}  // namespace wasabihook::gateway
