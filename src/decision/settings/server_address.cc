#include "decision/settings/server_address.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>

namespace wasabihook {
namespace {

constexpr size_t kMaxNameLength = 64;
constexpr int kIpv4Parts = 4;

// Consumes a decimal number from `min` to `max` without leading zeros. Returns
// false and consumes nothing if there is none.
bool ConsumeNumber(std::string_view& text, uint32_t max, uint32_t min = 0) {
  uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  const auto length = static_cast<size_t>(stop - text.data());
  const bool leading_zero = length > 1 && text.front() == '0';
  if (error != std::errc() || number > max || number < min || leading_zero) {
    return false;
  }
  text.remove_prefix(length);
  return true;
}

bool IsAddress(std::string_view text) {
  for (int part = 0; part < kIpv4Parts; ++part) {
    if (!ConsumeNumber(text, 255)) {
      return false;
    }
    const char separator = part + 1 < kIpv4Parts ? '.' : ':';
    if (text.empty() || text.front() != separator) {
      return false;
    }
    text.remove_prefix(1);
  }
  return ConsumeNumber(text, 65535, 1) && text.empty();
}

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
         });
}

std::optional<BackendServer> ParseServerAddress(std::string_view text) {
  const size_t at = text.find('@');
  if (at == std::string_view::npos || !IsAddress(text.substr(0, at)) ||
      !IsName(text.substr(at + 1))) {
    return std::nullopt;
  }
  return BackendServer{ServerId(std::string(text.substr(0, at))),
                       DataCentreId(std::string(text.substr(at + 1)))};
}

}  // namespace wasabihook
