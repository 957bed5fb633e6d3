#include "gateway/top_records.h"

#include <algorithm>
#include <cstring>

namespace wasabihook::gateway {

std::string MergeTopRecords(const std::vector<std::string>& parts,
                            size_t count) {
  std::vector<const char*> records;
  size_t total = 0;
  for (const std::string& part : parts)
    total += part.size() / kRecordBytes;
  records.reserve(total);
  for (const std::string& part : parts) {
    const size_t size = part.size() / kRecordBytes;
    for (size_t i = 0; i < size; ++i)
      records.push_back(part.data() + i * kRecordBytes);
  }
  const size_t kept = std::min(count, records.size());
  const auto greater = [](const char* a, const char* b) {
    return std::memcmp(a, b, kRecordBytes) > 0;
  };
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<ptrdiff_t>(kept),
                    records.end(), greater);
  std::string out;
  out.reserve(kept * kRecordBytes);
  for (size_t i = 0; i < kept; ++i)
    out.append(records[i], kRecordBytes);
  return out;
}

}  // namespace wasabihook::gateway
