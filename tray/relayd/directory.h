// Follows the store on the control thread: one listing, then one watch over all
// keys, in the store's own order.
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
// are changes; a renewal each third of kLeaseTime. Memory: the keys.

#ifndef TRAY_RELAYD_DIRECTORY_H_
#define TRAY_RELAYD_DIRECTORY_H_

#include <asio.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tray/base/time.h"
#include "tray/relay/ports.h"

namespace baobabtray {

class directory {
 public:
  using deliver_facts = std::function<void(std::vector<store_fact> facts)>;

  directory(asio::io_context& loop, directory_store store, std::string name,
            deliver_facts deliver);

  void Start();
  // Withdraws this host's announcement.
  void Leave();

  // For the state dump.
  uint64_t revision() const { return revision_; }
  size_t keys() const { return known_.size(); }
  bool in_contact() const { return failures_ == 0 && revision_ != 0; }
  micros last_contact() const { return last_contact_; }

 private:
  void Load();
  void LoadPage(const std::string& after);
  void Loaded();
  void Watch();
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
  std::string name_;
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
  std::set<std::string> hosts_;  // live ones
  int recorded_hosts_ = 0;
  bool reviewing_ = false;  // a review of the record is due
  bool leaving_ = false;
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_DIRECTORY_H_
