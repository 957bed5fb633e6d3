#include "gateway/request_fingerprint.h"

#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>

namespace wasabihook::gateway {

Fingerprint FingerprintOf(std::string_view method,
                          std::string_view host,
                          std::string_view target,
                          std::string_view body) {
  std::string head;
  head.reserve(method.size() + host.size() + target.size() + 2);
  head.append(method).append(" ");
  std::transform(host.begin(), host.end(), std::back_inserter(head),
                 [](unsigned char c) { return std::tolower(c); });
  head.append(" ").append(target);
  const uint64_t body_hash =
      body.empty() ? 0 : XXH64(body.data(), body.size(), 0);
  return Fingerprint(XXH64(head.data(), head.size(), body_hash));
}

std::optional<Fingerprint> ParseFingerprint(std::string_view hex) {
  constexpr int kHexadecimal = 16;
  uint64_t value = 0;
  const char* const end = hex.data() + hex.size();
  const auto [parsed, error] =
      std::from_chars(hex.data(), end, value, kHexadecimal);
  if (error != std::errc() || parsed != end)
    return std::nullopt;
  return Fingerprint(value);
}

std::string ToHex(Fingerprint fingerprint) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(fingerprint.value()));
  return text;
}

}  // namespace wasabihook::gateway
