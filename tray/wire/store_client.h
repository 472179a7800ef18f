// The platform's key-value service over HTTP; docs/STORE.md is the mapping.
//
// Reads, compare-and-swap and watches, each with a deadline. There are no
// leases: nothing in the tier is held by time, so none can lapse while its
// holder is paused. Belongs to one loop's thread.

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

// One entry of the platform's list of hosts.
struct listed_host {
  std::string name;
  endpoint peers;
  bool leaving = false;
};

class store_client {
 public:
  store_client(fetcher* http, const endpoint& store, metrics* counters)
      : http_(*http), store_(store), counters_(*counters) {}

  void Read(const std::string& key, store_callback done);
  // Writes `value` if the key is at `expected` (0: absent).
  void CompareAndSwap(const std::string& key, uint64_t expected,
                      std::string value, store_callback done);
  // Waits for a revision above `after`. kLost: the watch fell silent, or its
  // time is over with nothing new (kAbsent).
  void Watch(const std::string& key, uint64_t after, store_callback done);
  void ListHosts(std::function<void(std::vector<listed_host>)> done);

  static constexpr micros kCallTimeout = 1 * kSecond;
  static constexpr micros kWatchTime = 4 * kSecond;

 private:
  void Call(std::string_view name, fetch_request request, store_callback done);

  fetcher& http_;
  endpoint store_;
  metrics& counters_;
};

}  // namespace baobabtray

#endif  // TRAY_WIRE_STORE_CLIENT_H_
