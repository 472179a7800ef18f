// Log of recent store changes that a host serves to other hosts of its data
// centre. No I/O; change_feed.h transports the log, and hub_selection.h selects
// the hosts that serve it.
//
//   change_log log;
//   log.Reset(listing_revision);
//   log.Append(items, revision);
//   auto changes = log.ChangesAfter(after);  // latest item per key, or nullopt
//
// Memory: the latest item of each key changed since the last Reset, at most
// kMaxLogItems and kMaxLogBytes.

#ifndef TRAY_RELAYD_CHANGE_LOG_H_
#define TRAY_RELAYD_CHANGE_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tray/relay/ports.h"

namespace baobabtray {

constexpr size_t kMaxLogItems = 20'000;
constexpr size_t kMaxLogBytes = 4 << 20;

class change_log {
 public:
  // Clears the log. Changes after `revision` are to be appended.
  void Reset(uint64_t revision);
  // Adds `items` and advances the log to `revision`, which covers them all.
  void Append(const std::vector<stored_item>& items, uint64_t revision);
  // The latest item of each key that changed after revision `after`, oldest
  // first; nullopt if changes after `after` are no longer all in the log.
  std::optional<std::vector<stored_item>> ChangesAfter(uint64_t after) const;

  uint64_t revision() const { return revision_; }

 private:
  void Erase(uint64_t revision, const std::string& key);

  uint64_t start_ = 0;  // changes up to this revision are not in the log
  uint64_t revision_ = 0;
  size_t bytes_ = 0;  // total size of the values in items_
  std::map<std::pair<uint64_t, std::string>, stored_item> items_;
  // Revision of each key's item in items_; both hold the same keys.
  std::map<std::string, uint64_t> latest_;
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_CHANGE_LOG_H_
