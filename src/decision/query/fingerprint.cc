#include "decision/query/fingerprint.h"

#include <xxhash.h>

#include <string>

namespace wasabihook {

Fingerprint FingerprintOf(const CallerRequest& request) {
  // Each field is preceded by its length, so that shifting bytes from one field
  // to the next changes the value.
  std::string bytes = ToString(request.kind);
  for (const std::string* field :
       {&request.team.value(), &request.index_set.value(), &request.record_key,
        &request.payload}) {
    bytes += '\0' + std::to_string(field->size()) + ':';
    bytes += *field;
  }
  return Fingerprint(XXH64(bytes.data(), bytes.size(), 0));
}

}  // namespace wasabihook
