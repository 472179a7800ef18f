// The control thread and the context that its components share.
//
// The thread owns the configuration, membership, health reports and the admin
// API. It affects the traffic threads only through the routing state, whose
// lock it holds while it installs a new view, set of live hosts or report.

#ifndef TRAY_DAEMON_CONTROL_H_
#define TRAY_DAEMON_CONTROL_H_

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "absl/status/status.h"
#include "tray/daemon/daemon_state.h"
#include "tray/http/fetch.h"
#include "tray/wire/store_client.h"

namespace asio {
class io_context;
}

namespace baobabtray {

struct control_context {
  daemon_state& state;
  asio::io_context& loop;
  fetcher& http;
  store_client& store;
  std::mt19937_64& random;
};

// Calls `then` on the control thread after `delay`.
void RunAfter(const control_context& c, micros delay,
              std::function<void()> then);

// Returns `period` with a random jitter of up to 25% either way, so that hosts
// do not synchronize.
micros Jittered(const control_context& c, micros period);

// Sends a signed message to a peer and counts its bytes. `done` gets the HTTP
// status (0: no response) and the body.
void SendToPeer(const control_context& c, const endpoint& to,
                const std::string& path, std::string body,
                std::function<void(int status, std::string body)> done);

class control_thread {
 public:
  explicit control_thread(daemon_state* state);
  ~control_thread();

  // Loads the admin token and opens the admin listener.
  absl::Status Listen();
  // Runs until a graceful shutdown, started by SIGTERM or SIGINT, is complete.
  void Run();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_CONTROL_H_
