// Partial sort of fixed-size records. See merge.h.

#include "tray/relay/merge.h"

#include <algorithm>
#include <functional>

namespace baobabtray {

std::string MergeTopRecords(const std::vector<std::string_view>& parts,
                            size_t max_records) {
  std::vector<std::string_view> records;
  for (std::string_view part : parts) {
    for (; part.size() >= kRecordBytes; part.remove_prefix(kRecordBytes)) {
      records.push_back(part.substr(0, kRecordBytes));
    }
  }
  size_t kept = std::min(max_records, records.size());
  // string_view compares as unsigned bytes.
  std::partial_sort(records.begin(), records.begin() + kept, records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (size_t i = 0; i < kept; ++i) merged += records[i];
  return merged;
}

}  // namespace baobabtray
