#include "decision/query/fingerprint.h"

#include <xxhash.h>

#include <string>

namespace wasabihook {

Fingerprint ComputeFingerprint(const CallerRequest& request) {
  // Length-prefixes each field, so that moving bytes from one field to the next
  // changes the hash.
  std::string bytes = ToString(request.kind);
  const auto add = [&bytes](const std::string& field) {
    bytes += '\0' + std::to_string(field.size()) + ':';
    bytes += field;
  };
  add(request.team.value());
  add(request.index_set.value());
  add(request.payload);
  if (request.kind != RequestKind::kSearch) {
    add(request.record_key);
  }
  return Fingerprint(XXH64(bytes.data(), bytes.size(), 0));
}

}  // namespace wasabihook
