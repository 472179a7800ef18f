// Client for the platform's key-value store over HTTP. docs/STORE.md documents
// the mapping.
//
// Supports reads, compare-and-swap and watches, each with a time-out. There are
// no leases: the tier holds no resource for a limited time, so none can expire
// while its holder is paused. Must be used on one loop's thread.

#ifndef TRAY_WIRE_STORE_CLIENT_H_
#define TRAY_WIRE_STORE_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include "tray/base/endpoint.h"
#include "tray/config/edit.h"
#include "tray/http/fetch.h"
#include "tray/wire/metrics.h"

namespace baobabtray {

using store_callback = std::function<void(store_result)>;

// An entry of the platform's list of hosts.
struct listed_host {
  std::string name;
  endpoint peers;  // address for messages from other hosts
  bool leaving = false;
};

// Decodes the list of hosts. Entries that can't be read are left out.
std::vector<listed_host> DecodeHostList(std::string_view text);

class store_client {
 public:
  store_client(fetcher* http, const endpoint& store, metrics* counters)
      : http_(*http), store_(store), counters_(*counters) {}

  void Read(const std::string& key, store_callback done);
  // Writes `value` if the key is at revision `expected` (0: absent).
  void CompareAndSwap(const std::string& key, uint64_t expected,
                      std::string value, store_callback done);
  // Waits for a revision later than `after`. The result is kAbsent if there was
  // none within the watch's time, and kLost if the watch failed or timed out.
  void Watch(const std::string& key, uint64_t after, store_callback done);
  void ListHosts(std::function<void(std::vector<listed_host>)> done);

  static constexpr micros kCallTimeout = 1 * kSecond;
  static constexpr micros kWatchTimeout = 4 * kSecond;

 private:
  void Call(std::string_view name, fetch_request request, store_callback done);

  fetcher& http_;
  endpoint store_;
  metrics& counters_;
};

}  // namespace baobabtray

#endif  // TRAY_WIRE_STORE_CLIENT_H_
