// One traffic thread: callers' and peers' requests, queries, and the
// connections to the backend servers that belong to this thread.
//
// A query lives on the thread that received it. A backend server's connections
// live on one thread, chosen by the hash of its name, so that their number is
// bounded for the whole host; a send to it is posted there, and its result
// back.

#ifndef TRAY_DAEMON_TRAFFIC_H_
#define TRAY_DAEMON_TRAFFIC_H_

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "tray/daemon/engine.h"

namespace asio {
class io_context;
}

namespace baobabtray {

// Worker indexes are kept in the low bits of query ids.
constexpr int kMaxWorkers = 64;

// A read of one server's health endpoint.
struct health_read {
  std::string server;
  endpoint address;
  int connections = 1;  // bound on the server's pool
};

class traffic_worker {
 public:
  traffic_worker(engine* shared, int index);
  ~traffic_worker();

  // Opens the listeners for callers and peers.
  absl::Status Listen();
  // Runs until Stop.
  void Run();
  void Stop();
  // Accepts no new connections. Queries in hand go on.
  void StopAccepting();
  // Queries in hand on this thread.
  int in_hand() const;

  asio::io_context& loop();

  // Called by other workers, on any thread.
  struct outgoing;
  void PostSend(outgoing send);
  // Reads a server's health endpoint over its pool. This also opens a
  // connection ahead of its use, and keeps one from being idle for too long.
  void PostHealth(const health_read& read);
  void PostCancel(uint64_t attempt);
  void PostResult(uint64_t query, uint64_t attempt, attempt_kind kind,
                  attempt_result result);
  void PostRoom(const waiter& w);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_TRAFFIC_H_
