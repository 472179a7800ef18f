// The control thread: what its parts share, and the whole.
//
// One thread owns the configuration, membership, health reports and the
// administration API. It reaches the traffic threads only through the engine's
// lock, which it holds to put a new view, live set or report in force.

#ifndef TRAY_DAEMON_CONTROL_H_
#define TRAY_DAEMON_CONTROL_H_

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "absl/status/status.h"
#include "tray/daemon/engine.h"
#include "tray/http/fetch.h"
#include "tray/wire/store_client.h"

namespace asio {
class io_context;
}

namespace baobabtray {

struct control_context {
  engine& shared;
  asio::io_context& loop;
  fetcher& http;
  store_client& store;
  std::mt19937_64& random;
};

// Calls `then` on the control thread after `delay`.
void After(const control_context& c, micros delay, std::function<void()> then);

// `period` plus or minus a quarter at random, so that hosts do not march in
// step.
micros Jittered(const control_context& c, micros period);

// Sends a signed message to a peer; `done` gets the HTTP status (0: no answer)
// and the body. Counts the bytes.
void SendToPeer(const control_context& c, const endpoint& to,
                const std::string& path, std::string body,
                std::function<void(int status, std::string body)> done);

class control {
 public:
  explicit control(engine* shared);
  ~control();

  // Opens the administration listener and loads secrets.
  absl::Status Listen();
  // Runs until a signal has ended the daemon gracefully.
  void Run();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_CONTROL_H_
