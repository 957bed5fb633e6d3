#ifndef SRC_GATEWAY_TOP_RECORDS_H_
#define SRC_GATEWAY_TOP_RECORDS_H_

// PRIVATE HEADER.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wasabihook::gateway {

inline constexpr size_t kRecordBytes = 16;

// Merges unordered parts of fixed-size records into the `count` greatest ones,
// greatest first, compared byte by byte. Equal records all count; a shorter
// rest at the end of a part is no record.
std::string MergeTopRecords(const std::vector<std::string>& parts,
                            size_t count);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_TOP_RECORDS_H_
