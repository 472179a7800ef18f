// A traffic thread: serves requests from callers and peers, runs queries, and
// owns the connections to a subset of the backend servers.
//
// A query stays on the thread that received it. All connections to a backend
// server are owned by one thread, chosen by the hash of the server's name, so
// that their number is bounded for the whole host. Attempts are posted to the
// owning thread and their results are posted back.

#ifndef TRAY_DAEMON_TRAFFIC_H_
#define TRAY_DAEMON_TRAFFIC_H_

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "tray/daemon/daemon_state.h"

namespace asio {
class io_context;
}

namespace baobabtray {

// The worker's index is the query id modulo kMaxWorkers.
constexpr int kMaxWorkers = 64;

// A request to the health endpoint of one server.
struct health_read {
  std::string server;
  endpoint address;
  int connections = 1;  // limit of the connection pool
};

class traffic_worker {
 public:
  traffic_worker(daemon_state* state, int index);
  ~traffic_worker();

  // Opens the listeners for callers and peers.
  absl::Status Listen();
  // Runs until Stop.
  void Run();
  void Stop();
  // Stops accepting connections. Active queries continue.
  void StopAccepting();
  // Number of active queries on this thread. Thread-safe.
  int active_queries() const;

  asio::io_context& loop();

  // The Post functions are thread-safe.
  struct outgoing_attempt;
  void PostSend(outgoing_attempt send);
  // Reads a server's health endpoint over its connection pool, which also opens
  // a connection in advance and keeps an idle one alive.
  void PostHealth(const health_read& read);
  void PostCancel(uint64_t attempt);
  void PostResult(uint64_t query, uint64_t attempt, attempt_kind kind,
                  attempt_result result);
  void PostCapacity(const waiter& w);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_TRAFFIC_H_
