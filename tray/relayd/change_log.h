// What a host that reads the store tells the other hosts of its data centre,
// and which host that is. Pure; change_feed.h carries it.
//
//   change_log log;
//   log.Reset(listing_revision);
//   log.Append(items, revision);
//   auto changes = log.Since(after);   // the newest of each key, or nullopt
//
// Every host follows the store. With dozens of hosts in a data centre the same
// change is read dozens of times, and each read is charged and counts towards
// the store's rate. So one host in kHostsPerHub reads for the others, who go
// back to the store by themselves as soon as it does not answer or has no
// contact.
//
// Memory: the newest item of each key changed since the last Reset, at most
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

// In smaller data centres each host reads the store: a call saved is not worth
// one more host that can fail.
constexpr size_t kLeastHostsWithHub = 4;
// A hub sends each change to so many; at kLargeValue each that is 0.8 s of a
// link of 20 Mbit/s, and a tenth of that for a usual configuration.
constexpr size_t kHostsPerHub = 32;
constexpr size_t kMaxLogItems = 20'000;
constexpr size_t kMaxLogBytes = 4 << 20;

class change_log {
 public:
  // Forgets everything; changes after `revision` will be appended.
  void Reset(uint64_t revision);
  // Changes up to `revision`, which is the log's from now on.
  void Append(const std::vector<stored_item>& items, uint64_t revision);
  // The newest item of each key that changed after `after`, oldest first; null
  // if the log does not reach back that far.
  std::optional<std::vector<stored_item>> Since(uint64_t after) const;

  uint64_t revision() const { return revision_; }

 private:
  void Drop(uint64_t revision, const std::string& key);

  uint64_t start_ = 0;  // changes up to here are not in the log
  uint64_t revision_ = 0;
  size_t bytes_ = 0;
  std::map<std::pair<uint64_t, std::string>, stored_item> items_;
  std::map<std::string, uint64_t> newest_;  // revision by key; all in items_
};

// The host that reads the store for `own`, or null if `own` reads it itself.
// `live`: all live hosts by name. All hosts that see the same ones agree.
const registered_host* HubOf(const std::map<std::string, registered_host>& live,
                             const registered_host& own);

}  // namespace baobabtray

#endif  // TRAY_RELAYD_CHANGE_LOG_H_
