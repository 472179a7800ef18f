// Follows the store on the control thread: one listing of all keys, then
// watches for changes, in the store's revision order. In larger data centres
// one host, the hub, watches the store and the others poll the hub
// (hub_selection.h, change_log.h, change_feed.h). change_source.h decides whom
// a host asks next, and how long it waits, by the age of what it knows.
//
// Decoded items are delivered in batches. While the store is unreachable the
// last known state stays in force. If the store has dropped the history that a
// watch needs, everything is listed again, and keys absent from the new listing
// are delivered as removed. An item older than the known revision of its key is
// ignored, so a listing whose pages do not form one snapshot is harmless.
//
// If an answer of any call shows that the store has come back from an older
// copy (its era has risen), all calls before are forgotten, everything is
// listed again (known_items.h) and this host registers itself anew.
// docs/design/store-eras.md has the details.
//
// The number of live hosts is recorded in the store without a lease by the host
// whose name sorts first. It is raised after kFleetSizeRaiseDelay and lowered
// only once it has been smaller for kFleetSizeLowerDelay.
//
// Cost: a watch returns once per kWatchTimeout, or at a hub once per
// source_timing::hub_refresh, or once per kBatchInterval while there are
// changes. A poll is answered whenever a watch of the hub returns. Memory: all
// keys, and the change log of a hub.

#ifndef TRAY_RELAYD_STORE_WATCHER_H_
#define TRAY_RELAYD_STORE_WATCHER_H_

#include <asio.hpp>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "tray/base/time.h"
#include "tray/relay/ports.h"
#include "tray/relayd/change_feed.h"
#include "tray/relayd/change_log.h"
#include "tray/relayd/change_source.h"
#include "tray/relayd/known_items.h"

namespace baobabtray {

class store_watcher {
 public:
  using deliver_updates =
      std::function<void(std::vector<store_update> updates)>;

  // `http` sends the polls to a hub; must outlive the store_watcher.
  // `change_limit`: time within which a change is to be known.
  store_watcher(asio::io_context& loop, directory_store store, fetcher* http,
                registered_host own, micros change_limit,
                deliver_updates deliver);

  // Sets a callback for each rise of as_of(). It is called before the updates
  // that complete all changes made before.
  void NotifyKnown(std::function<void(micros as_of)> known) {
    known_as_of_ = std::move(known);
  }
  // Adds a function to be called when the store has come back from an older
  // copy and before it is listed: whatever was written to it may be gone.
  void OnEraRise(std::function<void(uint64_t era)> listener) {
    era_listeners_.push_back(std::move(listener));
  }
  // Keeps the age of what is known below `max_age` while the store answers.
  void LimitAge(micros max_age) { LimitWatch(&source_.timing, max_age); }
  // Before Start: writes this host's entry only after the first listing, or
  // kMaxEntryDelay, so that entry_since tells whether it was there already.
  void ListBeforeEntry() { lists_before_entry_ = true; }
  void Start();
  // Ends the lease, which removes this host's entry from the store.
  void Deregister();
  // Answers another host's poll for changes.
  void HandleChangeRequest(const http_request& r, const responder& respond);

  // For the state dump.
  uint64_t revision() const { return revision_; }
  uint64_t era() const { return era_; }
  size_t keys() const { return known_.size(); }
  bool in_contact() const { return failures_ == 0 && revision_ != 0; }
  // All changes made before this time are known; 0: none yet.
  micros as_of() const { return source_.as_of; }
  // This host's entry in the store can't lapse before; 0: there is none.
  micros entry_valid_until() const { return entry_valid_until_; }
  // When the store confirmed this host's entry, since which it has not lapsed;
  // 0 if it was there before this process could write it.
  micros entry_since() const {
    bool predates = entries_written_ <= 1 && entry_predates_start_;
    return predates ? 0 : entry_written_at_;
  }
  // Name of the hub that this host polls, or "" if it watches the store.
  const std::string& hub() const { return source_.choice.hub; }

 private:
  void ObserveEra(uint64_t era);
  // Lists the store after a rise of its era.
  void StartEra();
  // The changes that the listing makes to what was known in the era before.
  std::vector<stored_item> ReconcileEra();
  void DeliverHeld();
  bool IsOutdated(const store_read_result& answer) const {
    return answer.era != 0 && answer.era < era_;
  }
  // Wraps a callback of the chain of listings, watches and polls, so that it is
  // dropped once StartEra has begun another chain.
  template <typename F>
  auto InChain(F callback) {
    return [this, chain = chain_, callback = std::move(callback)](auto&&... a) {
      if (chain == chain_) callback(std::forward<decltype(a)>(a)...);
    };
  }
  void StartListing();
  void ListPage(const std::string& after);
  void FinishListing();
  void Watch();
  void WatchStore(const source_step& step);
  // `send_large`: the hub sends large values too.
  void PollHub(const source_step& step, bool send_large);
  void HandleBatch(const std::string& hub, micros as_of, change_batch batch);
  void FetchLargeValues(const std::string& hub, micros as_of,
                        change_batch batch);
  void PollLargeValues(const std::string& hub);
  void LogAbandonedHub(const std::string& hub, std::string_view problem) const;
  // Time since as_of(), for log lines.
  std::string AgeMs() const;
  // `made_after`: see server_update.
  void ApplyChanges(std::vector<stored_item> items, uint64_t revision,
                    micros made_after);
  void DeliverItems(std::vector<stored_item> items, micros made_after);
  void RetryAfterFailure(const std::string& problem, micros asked_at);
  // The store has sent all changes made before `as_of`, and before
  // `prompt_as_of` if it is well.
  void OnStoreAnswered(micros as_of, micros prompt_as_of);
  void OpenLease();
  void Announce();
  void ReviewFleetSize();
  void RenewLease();
  void ScheduleRenewal(micros delay);
  void RunAfter(micros delay, std::function<void()> callback);
  micros Backoff(int failures);

  asio::io_context& loop_;
  directory_store store_;
  fetcher& http_;
  const registered_host own_;
  deliver_updates deliver_;
  std::function<void(micros as_of)> known_as_of_;  // may be empty
  std::mt19937_64 random_;
  uint64_t revision_ = 0;  // all changes up to this revision are delivered
  // Of the store as last stated; 0: none yet. All revisions are of this era.
  uint64_t era_ = 0;
  bool new_era_ = false;  // not listed yet since the era has risen
  uint64_t chain_ = 0;    // of listings, watches and polls; see InChain
  std::vector<std::function<void(uint64_t era)>> era_listeners_;
  known_items known_;
  std::map<std::string, stored_item> listing_;  // pages received so far
  uint64_t listing_revision_ = 0;
  micros listing_started_at_ = 0;
  int failures_ = 0;  // consecutive failed calls
  uint64_t lease_ = 0;
  uint64_t lease_request_ = 0;  // the latest one; answers to others are unused
  int lease_failures_ = 0;
  micros lease_valid_until_ = 0;  // at least
  micros entry_valid_until_ = 0;  // the same, once the entry is written
  micros reregister_until_ = 0;   // after the store has come back older
  micros entry_written_at_ = 0;   // with the present lease
  int entries_written_ = 0;       // with a lease each
  bool lists_before_entry_ = false;
  micros entry_delayed_since_ = 0;
  bool announce_sent_ = false;
  bool entry_predates_start_ = false;
  std::map<std::string, registered_host> hosts_;  // live hosts by name
  change_source source_;
  change_log log_;  // of all changes since the first listing
  change_feed_server change_feed_;
  int recorded_hosts_ = 0;
  std::string fleet_size_key_;   // of the item that records it; "": none seen
  bool review_pending_ = false;  // a timer will run the fleet size review
  bool leaving_ = false;
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_STORE_WATCHER_H_
