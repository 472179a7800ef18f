// State shared by the traffic threads and the control thread of one daemon.
//
// The routing state is one structure under one lock. A routing decision holds
// the lock for a few microseconds; nothing is sent, parsed or allocated in bulk
// while it is held. There is no lock per backend server, since a query involves
// all of its servers in one decision (docs/design/threads.md).

#ifndef TRAY_DAEMON_DAEMON_STATE_H_
#define TRAY_DAEMON_DAEMON_STATE_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "tray/base/clock.h"
#include "tray/http/byte_account.h"
#include "tray/query/admission.h"
#include "tray/query/query.h"
#include "tray/text/settings.h"
#include "tray/wire/metrics.h"

namespace baobabtray {

class traffic_worker;

struct daemon_state {
  // Set before the threads start, constant afterwards.
  settings local_settings;
  location host_location;
  byte_account_ref account;  // of the bytes held for callers
  std::string peer_secret;
  std::string id_prefix;  // makes attempt ids unique across hosts and restarts
  std::vector<traffic_worker*> workers;
  // Passes a message from a peer to the control thread.
  std::function<void(std::string from, std::string path, std::string body,
                     std::function<void(int, std::string)> reply)>
      on_peer_message;
  // Passes a health report read by a traffic thread to the control thread.
  std::function<void(std::string server, std::string body)> on_health;

  std::mutex mutex;
  routing_state routing;      // guarded by `mutex`
  admission_state admission;  // guarded by `mutex`

  metrics counters;
  std::atomic<bool> draining{false};
  // A server turned cold, is leaving or stopped responding, and peers have not
  // been told yet.
  std::atomic<bool> urgent_update_pending{false};
  // Background writes to the store that have not finished.
  std::atomic<int64_t> pending_store_writes{0};
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_DAEMON_STATE_H_
