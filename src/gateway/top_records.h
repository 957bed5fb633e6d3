#ifndef SRC_GATEWAY_TOP_RECORDS_H_
#define SRC_GATEWAY_TOP_RECORDS_H_

// PRIVATE HEADER.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wasabihook::gateway {

inline constexpr size_t kRecordBytes = 16;

// Merges parts of unordered fixed-size records into the `count` greatest
// records in descending order, compared as unsigned bytes. Duplicates are kept;
// an incomplete record at the end of a part is ignored.
std::string MergeTopRecords(const std::vector<std::string>& parts,
                            size_t count);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_TOP_RECORDS_H_
