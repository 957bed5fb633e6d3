#ifndef SRC_GATEWAY_TEAMS_TEAM_DIRECTORY_H_
#define SRC_GATEWAY_TEAMS_TEAM_DIRECTORY_H_

// PRIVATE HEADER.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/http_message.h"
#include "gateway/platform_adapter.h"

namespace wasabihook::gateway {

// XXH64 of the name of a team, for messages between instances.
using TeamKey = StrongId<struct TeamKeyTag, uint64_t>;

struct Team {
  TeamId id;
  TeamKey key;
  std::optional<uint32_t> priority;
  Allowance allowance;
};

using TeamPtr = std::shared_ptr<const Team>;

// The teams of one configuration version and the keys of their callers.
// Immutable.
class TeamDirectory {
 public:
  TeamDirectory() = default;
  // Throws std::runtime_error if a name or a key can't be the value of a field,
  // a key or a name occurs twice, an allowance is no finite number of at least
  // zero, or there are more than kMaxTeams or kMaxApiKeys.
  explicit TeamDirectory(const std::vector<TeamConfig>& teams);

  // False if the configuration has no teams: callers need no key then.
  bool requires_keys() const { return !m_teams.empty(); }
  // Null if no team has the key.
  TeamPtr FindByKey(std::string_view api_key) const;
  size_t teams() const { return m_teams.size(); }
  size_t keys() const { return m_keys.size(); }

 private:
  struct Hash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };

  void AddKeys(const TeamConfig& config, const TeamPtr& team);

  std::vector<TeamPtr> m_teams;
  std::unordered_map<std::string, TeamPtr, Hash, std::equal_to<>> m_keys;
};

// First digits of the hash of a key, for logs, which must not contain keys.
// Empty if there is no key.
std::string KeyDigest(std::string_view api_key);

enum class CallerStatus : uint8_t {
  kAccepted,
  kNoKey,
  kSeveralKeys,
  kUnknownKey,
};
const char* ToString(CallerStatus status);

struct CallerIdentity {
  CallerStatus status = CallerStatus::kAccepted;
  // Null if no key is required and none is known.
  TeamPtr team;
};

// Identifies the team of a caller by the field `api_key` of its request.
// `is_public`: callers of the route need no key.
CallerIdentity IdentifyCaller(const TeamDirectory& teams,
                              const HeaderList& headers,
                              std::string_view api_key_field,
                              bool is_public);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_TEAMS_TEAM_DIRECTORY_H_
