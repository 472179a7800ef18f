// A stand-in for the store of the users' platform, written from the platform's
// documentation: items with revisions, paged listings, watches, leases,
// transactions and fault injection.

#ifndef TRAY_STANDIN_PLATFORM_STORE_H_
#define TRAY_STANDIN_PLATFORM_STORE_H_

#include <asio.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tray/standin/test_http_server.h"

namespace baobabtray::standin {

class platform_store {
 public:
  platform_store(asio::io_context& loop, const std::string& host,
                 uint16_t port);

  void Listen() { http_.Listen(); }

  // Direct writes, as made by operators and backend servers.
  uint64_t Put(const std::string& key, const std::string& value,
               uint64_t lease = 0);
  void Remove(const std::string& key);

  // Fault that applies to all requests until changed.
  enum class fault { kNone, kBusy, kReset, kNoResponse };
  fault active_fault = fault::kNone;
  int replies_to_drop = 0;  // this many next writes are applied, not answered
  size_t page_size = 500;   // items in one page of a listing
  // Discards the change history: watches from an older revision get status
  // 410, and pending watches are reset.
  void CompactHistory();
  // Pending watches are never answered. Their connections stay open.
  void StallWatches();
  // Never answers again on the connections that are open now.
  void SilenceConnections();
  // Keeps a copy of all items and leases, from which GoBack restores the store:
  // revisions go back with it, leases granted since are gone, and the era
  // rises.
  void SaveCopy();
  void GoBack();
  uint64_t era = 0;  // stated in all answers unless 0
  // Expires all leases and removes their items.
  void ExpireLeases();

  uint64_t revision() const { return revision_; }
  int CallCount(const std::string& call) { return call_counts_[call]; }
  bool Has(const std::string& key) const { return items_.contains(key); }

 private:
  struct item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct change {
    std::string key;
    uint64_t revision = 0;
    bool removed = false;
    item current;
  };
  struct watcher {
    std::shared_ptr<test_http_connection> connection;
    uint64_t after = 0;
    std::shared_ptr<asio::steady_timer> timer;
  };

  test_http_headers Headers() const;
  void Handle(const std::shared_ptr<test_http_connection>& c,
              const test_http_request& r);
  void List(const std::shared_ptr<test_http_connection>& c,
            const test_http_request& r);
  void Watch(const std::shared_ptr<test_http_connection>& c,
             const test_http_request& r);
  void Transact(const std::shared_ptr<test_http_connection>& c,
                const test_http_request& r);
  void GrantLease(const std::shared_ptr<test_http_connection>& c,
                  const test_http_request& r);
  void ReplyToWatch(const watcher& w);
  void NotifyWatchers();
  void StartLeaseTimer(uint64_t lease);

  asio::io_context& loop_;
  test_http_server http_;
  std::map<std::string, item> items_;
  std::vector<change> history_;
  uint64_t compacted_revision_ = 0;  // changes up to it are not in history_
  uint64_t revision_ = 1;
  uint64_t last_lease_ = 100;
  struct lease_state {
    int ttl_ms = 0;
    std::shared_ptr<asio::steady_timer> timer;
  };
  std::map<uint64_t, lease_state> leases_;
  struct copy {
    std::map<std::string, item> items;
    std::map<uint64_t, int> lease_ttl_ms;
    uint64_t revision = 1;
  };
  copy copy_;
  std::list<watcher> watchers_;
  std::map<std::string, int> call_counts_;
};

}  // namespace baobabtray::standin

#endif  // TRAY_STANDIN_PLATFORM_STORE_H_
