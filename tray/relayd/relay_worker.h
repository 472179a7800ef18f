// The traffic thread of a relaying host: callers' requests, their attempts at
// backend servers, and the state that decides on both.
//
// One thread owns it all, so no decision takes a lock. The control thread posts
// what it learns from the store; nothing is read back but snapshots.

#ifndef TRAY_RELAYD_RELAY_WORKER_H_
#define TRAY_RELAYD_RELAY_WORKER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "tray/relay/ports.h"
#include "tray/relayd/relay_metrics.h"
#include "tray/text/settings.h"

namespace baobabtray {

struct relay_codecs {
  caller_codec callers;
  server_codec servers;
};

class relay_worker {
 public:
  relay_worker(const settings& own, const relay_codecs& codecs,
               relay_metrics* counters);
  ~relay_worker();

  // Opens the listeners for callers and for readiness checks.
  absl::Status Listen();
  // Runs until Stop.
  void Run();
  // The rest may be called from any thread.
  void Stop();
  void PostFacts(std::vector<store_update> facts);
  // Fails readiness checks and asks callers to close their connections.
  void StartDraining();
  void StopAccepting();
  // Requests in hand, and the time at which the last one came in.
  int in_hand() const;
  micros last_request() const;
  // Everything that this host believes, as JSON; `done` runs on this thread.
  void PostDump(std::function<void(std::string json)> done);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_RELAY_WORKER_H_
