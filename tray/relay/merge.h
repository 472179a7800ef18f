// Merges the responses of several shards into their greatest records.
//
// A shard's response is an unsorted sequence of records of kRecordBytes bytes;
// a shorter remainder at its end is ignored. Equal records are all kept.
// Cost: linear in the input, plus the sort of the records that are returned.

#ifndef TRAY_RELAY_MERGE_H_
#define TRAY_RELAY_MERGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace baobabtray {

constexpr size_t kRecordBytes = 16;

// Returns at most `max_records` records of all parts, greatest first. Records
// compare as unsigned bytes.
std::string MergeTopRecords(const std::vector<std::string_view>& parts,
                            size_t max_records);

}  // namespace baobabtray

#endif  // TRAY_RELAY_MERGE_H_
