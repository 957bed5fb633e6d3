#include <strings.h>

#include "runtime/http_listener.h"

namespace wasabihook {
namespace {

std::optional<std::string> Find(const HttpHeaders& entries,
                                std::string_view name,
                                bool ignore_case) {
  for (const auto& [key, value] : entries) {
    if (key.size() != name.size())
      continue;
    if (ignore_case ? strncasecmp(key.data(), name.data(), name.size()) == 0
                    : key == name)
      return value;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> HttpRequest::Header(std::string_view name) const {
  return Find(headers, name, true);
}

std::optional<std::string> HttpRequest::QueryArgument(
    std::string_view name) const {
  return Find(query, name, false);
}

}  // namespace wasabihook
