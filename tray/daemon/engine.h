// State that the traffic threads and the control thread of one daemon share.
//
// Routing state is one structure behind one lock. A decision holds the lock for
// a few microseconds; nothing is sent, parsed or allocated in bulk under it. A
// lock per backend server was weighed and left out: a query touches all of its
// servers in one decision (docs/design/threads.md).

#ifndef TRAY_DAEMON_ENGINE_H_
#define TRAY_DAEMON_ENGINE_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "tray/base/clock.h"
#include "tray/query/admission.h"
#include "tray/query/query.h"
#include "tray/text/settings.h"
#include "tray/wire/metrics.h"

namespace baobabtray {

class traffic_worker;

struct engine {
  // Set before the threads start, constant after.
  settings own;
  location here;
  std::string peer_secret;
  std::string id_prefix;  // makes attempt ids unique over hosts and restarts
  std::vector<traffic_worker*> workers;
  std::function<void(std::string from, std::string path, std::string body,
                     std::function<void(int, std::string)> reply)>
      on_peer_message;  // runs on the control thread

  // A health report that a traffic thread has read; runs on the control thread.
  std::function<void(std::string server, std::string body)> on_health;

  std::mutex mutex;
  routing_state r;            // guarded by `mutex`
  admission_state admission;  // guarded by `mutex`

  metrics counters;
  std::atomic<bool> draining{false};
  std::atomic<bool> news{false};  // a server turned cold, left or went away
  std::atomic<int64_t> background{0};  // store writes still under way
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_ENGINE_H_
