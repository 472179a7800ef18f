// Follows the store on the control thread: one listing, then one watch over all
// keys, in the store's own order. In a data centre of some hosts one of them,
// the hub, watches the store and the others ask it (change_log.h,
// change_feed.h). A host whose hub does not answer, or has not heard from the
// store for kMaxFeedAge, watches the store itself for kDirectTime, so that
// nothing is learned later than a second or two after it would have been from
// the store.
//
// What the items say is delivered in batches; nothing is taken back when the
// store is away. After lost history everything is listed anew, and what is no
// longer there counts as removed. An item older than the one known for its key
// is ignored, so pages that are no snapshot do no harm.
//
// The number of live hosts is kept on record without a lease, by the host whose
// name sorts first: raised soon, lowered only when it has long been smaller.
//
// Cost: a watch is answered once per kWatchTime, or per kBatchTime while there
// are changes; a renewal each third of kLeaseTime, and each kHubRenewPeriod at
// a hub, whose renewals show its followers that it is in contact. A follower's
// question to its hub is answered once per kFeedWait or at a change. Memory:
// the keys, and the log of a hub.

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

namespace baobabtray {

class store_watcher {
 public:
  using deliver_facts = std::function<void(std::vector<store_update> facts)>;

  // `http` carries the questions to a hub; must outlive the store_watcher.
  store_watcher(asio::io_context& loop, directory_store store, fetcher* http,
                registered_host own, deliver_facts deliver);

  void Start();
  // Withdraws this host's announcement.
  void Leave();
  // Answers another host's question for changes.
  void HandleChangeRequest(const http_request& r, const responder& respond) {
    feed_.Handle(r, respond);
  }

  // For the state dump.
  uint64_t revision() const { return revision_; }
  size_t keys() const { return known_.size(); }
  bool in_contact() const { return failures_ == 0 && revision_ != 0; }
  micros last_contact() const { return last_contact_; }
  // Name of the hub that is followed, or "" if the store itself is.
  const std::string& hub() const { return hub_; }

 private:
  void Load();
  void LoadPage(const std::string& after);
  void Loaded();
  void Watch();
  void WatchStore();
  void WatchHub(const registered_host& hub);
  void TakeFeed(const std::string& hub, change_batch batch);
  void TakeLarge(const std::string& hub, change_batch batch);
  void LeaveHub(const std::string& hub, std::string_view problem);
  void SetHub(const std::string& hub);
  void Learn(std::vector<stored_item> items, uint64_t revision);
  void Take(std::vector<stored_item> items);
  void Retry(const std::string& problem, std::function<void()> again);
  void Contact();
  void OpenLease();
  void Announce();
  void ReviewFleet();
  void Renew();
  void After(micros delay, std::function<void()> then);
  micros Backoff(int failures);

  asio::io_context& loop_;
  directory_store store_;
  fetcher& http_;
  const registered_host own_;
  deliver_facts deliver_;
  std::mt19937_64 random_;
  uint64_t revision_ = 0;                       // changes up to here are known
  std::map<std::string, uint64_t> known_;       // revision of each key
  std::map<std::string, stored_item> listing_;  // pages read so far
  uint64_t listing_revision_ = 0;
  int failures_ = 0;  // calls in a row that failed
  micros last_contact_ = 0;
  uint64_t lease_ = 0;
  int lease_failures_ = 0;
  std::map<std::string, registered_host> hosts_;  // live ones
  std::string hub_;
  micros direct_until_ = 0;  // no hub is followed before
  change_log log_;           // kept while the store itself is followed
  change_feed_server feed_;
  int recorded_hosts_ = 0;
  bool reviewing_ = false;  // a review of the record is due
  bool leaving_ = false;
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_STORE_WATCHER_H_
