#ifndef SRC_DECISION_SETTINGS_SERVER_ADDRESS_H_
#define SRC_DECISION_SETTINGS_SERVER_ADDRESS_H_

#include <optional>
#include <string_view>

#include "wasabihook/snapshot.h"

namespace wasabihook {

// Returns true for 1 to 64 letters, digits, '-', '_' or '.'.
bool IsName(std::string_view text);
// Parses "ip:port@data-centre" with an IPv4 address; empty if malformed.
std::optional<BackendServer> ParseServerAddress(std::string_view text);

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_SERVER_ADDRESS_H_
