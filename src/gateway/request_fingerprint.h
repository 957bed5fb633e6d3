#ifndef SRC_GATEWAY_REQUEST_FINGERPRINT_H_
#define SRC_GATEWAY_REQUEST_FINGERPRINT_H_

// PRIVATE HEADER.

#include <optional>
#include <string>
#include <string_view>

#include "wasabihook/ids.h"

namespace wasabihook::gateway {

// Fingerprint of what a request asks for. Equal for all repetitions of a
// request, each of which has an id of its own. The case of `host` is ignored.
Fingerprint FingerprintOf(std::string_view method,
                          std::string_view host,
                          std::string_view target,
                          std::string_view body);

// Sixteen hexadecimal digits, for logs and store keys.
std::string ToHex(Fingerprint fingerprint);
std::optional<Fingerprint> ParseFingerprint(std::string_view hex);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_REQUEST_FINGERPRINT_H_
