// Private. Parser of the JSON bodies that backend servers send.
#ifndef SRC_PEERS_BACKEND_REPLY_BODY_H_
#define SRC_PEERS_BACKEND_REPLY_BODY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wasabihook/backend.h"

namespace wasabihook {

// Members of a reply body; absent members are empty.
struct ReplyBody {
  std::optional<std::string> request_id;
  std::optional<uint64_t> index_version;
  std::optional<uint64_t> map_version;
  std::optional<std::string> group;
  std::optional<uint64_t> records_searched;
  std::optional<uint64_t> row_count;
  bool has_rows = false;
  // JSON text of each row, byte for byte as the server sent it.
  std::vector<std::string> rows;
  std::optional<LoadHint> load;
  std::optional<std::string> error;
  std::optional<SnapshotId> newest;
};

// Parses one JSON object. Returns nullopt if the text is not JSON, a known
// member has the wrong type or occurs twice, a row is not an object, or values
// are nested deeper than config::kMaxReplyNesting. Ignores unknown members.
std::optional<ReplyBody> ParseReplyBody(std::string_view text);

}  // namespace wasabihook

#endif  // SRC_PEERS_BACKEND_REPLY_BODY_H_
