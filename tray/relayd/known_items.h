// What a host knows of the store's items, by key, also when the store comes
// back from an older copy. No I/O and no clock.
//
//   known_items known;
//   if (known.Accept(item, now)) ...      // newer than what is known of its
//   key known.BeginEra();                     // the store has come back older
//   era_changes changes = known.Reconcile(listing, revision, now, is_urgent);
//   // Deliver changes.items; after kRewriteTime:
//   std::vector<stored_item> rest = known.TakeHeld();
//
// Within one era of the store revisions rise, and an item older than the known
// one of its key is late. A new era begins when the store has come back from a
// copy: its revisions go back and are given out again, so that they can't be
// compared with those known before. The first listing of the new era is then
// compared by value.
//
// What differs there is likely to be written again, since the writers live on:
// a key that is missing, and one that is back although its removal is recent,
// are held for kRewriteTime, and follow the listing if nobody has written them
// by then. Items that are back with an older value are delivered at once; their
// own versions and sequences order them.
//
// Memory: the keys, and up to kMaxRemovals removals of the last kRemovalMemory.

#ifndef TRAY_RELAYD_KNOWN_ITEMS_H_
#define TRAY_RELAYD_KNOWN_ITEMS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tray/base/time.h"
#include "tray/relay/ports.h"

namespace baobabtray {

// Writers notice within two seconds that the store has lost what they wrote.
constexpr micros kRewriteTime = 3 * kSecond;
// Longer than a copy of the store is old.
constexpr micros kRemovalMemory = 60 * kSecond;
constexpr size_t kMaxRemovals = 20'000;

struct era_changes {
  std::vector<stored_item> items;  // to be delivered now
  size_t held = 0;
};

class known_items {
 public:
  // Returns whether `item` is news, and records it.
  bool Accept(const stored_item& item, micros now);

  // Revisions known so far can't be compared with those to come.
  void BeginEra();
  // The changes that the first listing of an era makes to what is known, to be
  // passed to Accept when they are delivered. A missing key for which
  // `is_urgent` returns true is not held.
  era_changes Reconcile(
      const std::map<std::string, stored_item>& listing, uint64_t revision,
      micros now,
      const std::function<bool(const stored_item& removal)>& is_urgent);
  // The items still held, which Accept has not seen yet. None are held then.
  std::vector<stored_item> TakeHeld();

  // Removals of known keys that a listing at `revision` lacks.
  std::vector<stored_item> Missing(
      const std::map<std::string, stored_item>& listing,
      uint64_t revision) const;
  size_t size() const { return known_.size(); }

 private:
  struct known_item {
    uint64_t revision = 0;  // 0: of an earlier era
    uint64_t value_hash = 0;
  };

  std::map<std::string, known_item> known_;
  std::map<std::string, stored_item> held_;
  std::deque<std::pair<micros, std::string>> removals_;  // oldest first
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_KNOWN_ITEMS_H_
