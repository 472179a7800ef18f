// A stand-in for the users' platform's store, from its pages: items with
// revisions, listings in pages, watches, leases, and the ways in which it
// fails.

#ifndef TRAY_STANDIN_PLATFORM_STORE_H_
#define TRAY_STANDIN_PLATFORM_STORE_H_

#include <asio.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tray/standin/wire.h"

namespace baobabtray::standin {

class platform_store {
 public:
  platform_store(asio::io_context& loop, const std::string& host,
                 uint16_t port);

  void Listen() { wire_.Listen(); }

  // What operators and backend servers write.
  uint64_t Put(const std::string& key, const std::string& value,
               uint64_t lease = 0);
  void Remove(const std::string& key);

  // Faults.
  enum class fault { kNone, kBusy, kReset, kSilent };
  fault failing = fault::kNone;
  int lose_answers = 0;  // of the next writes: done, but not answered
  size_t page = 500;     // items in one listing
  // Watches from before now are refused, and waiting ones are cut.
  void ForgetHistory();
  // Waiting watches are never answered; their connections stay open.
  void SilenceWatches();
  // All leases end.
  void EndLeases();

  uint64_t revision() const { return revision_; }
  int calls(const std::string& call) { return calls_[call]; }
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
    item now;
  };
  struct watcher {
    std::shared_ptr<wire_connection> connection;
    uint64_t after = 0;
    std::shared_ptr<asio::steady_timer> timer;
  };

  void Handle(const std::shared_ptr<wire_connection>& c, const wire_request& r);
  void Range(const std::shared_ptr<wire_connection>& c, const wire_request& r);
  void Watch(const std::shared_ptr<wire_connection>& c, const wire_request& r);
  void Transact(const std::shared_ptr<wire_connection>& c,
                const wire_request& r);
  void OpenLease(const std::shared_ptr<wire_connection>& c,
                 const wire_request& r);
  void Answer(const watcher& w);
  void Wake();
  void ArmLease(uint64_t lease);

  asio::io_context& loop_;
  wire_server wire_;
  std::map<std::string, item> items_;
  std::vector<change> history_;
  uint64_t forgotten_ = 0;  // changes up to here can't be watched for
  uint64_t revision_ = 1;
  uint64_t last_lease_ = 100;
  struct lease_state {
    int ttl_ms = 0;
    std::shared_ptr<asio::steady_timer> timer;
  };
  std::map<uint64_t, lease_state> leases_;
  std::list<watcher> watchers_;
  std::map<std::string, int> calls_;
};

}  // namespace baobabtray::standin

#endif  // TRAY_STANDIN_PLATFORM_STORE_H_
