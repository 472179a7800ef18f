// Merges the parts of a query: the greatest records of all shards.
//
// A part is a row of records of kRecordBytes bytes in no order; a shorter rest
// at its end is not a record. Equal records all count.
// Cost: linear in the parts, plus the sort of the records that are kept.

#ifndef TRAY_RELAY_MERGE_H_
#define TRAY_RELAY_MERGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace baobabtray {

constexpr size_t kRecordBytes = 16;

// The greatest `most` records of all parts, greatest first, compared as bytes.
std::string MergeTopRecords(const std::vector<std::string_view>& parts,
                            size_t max_records);

}  // namespace baobabtray

#endif  // TRAY_RELAY_MERGE_H_
