// Keeps connections to backend servers ready, on the traffic thread: probes
// unreachable servers until they accept a connection, and connects to second
// choices before a request needs them (tray/relay/preconnect.h).
//
// Cost: one run every kPreconnectInterval while services are in use, and every
// kProbeInterval while a server is unreachable. The runs stop when neither is
// the case.

#ifndef TRAY_RELAYD_SERVER_PROBER_H_
#define TRAY_RELAYD_SERVER_PROBER_H_

#include <asio.hpp>

#include "tray/http/relay_client.h"
#include "tray/relay/servers.h"

namespace baobabtray {

class server_prober {
 public:
  // All must outlive the prober and be used on the loop's thread only.
  server_prober(asio::io_context& loop, relay_client* client, relay_pool* pool)
      : timer_(loop), client_(*client), pool_(*pool) {}

  // Schedules the next run, or moves it forward. To be called after each event
  // that may have left a server to probe or to connect to.
  void Schedule();

 private:
  void Run();
  void ProbeUnreachable(micros now);
  void ConnectAhead(micros now);
  void CloseSurplus(micros now);

  asio::steady_timer timer_;
  relay_client& client_;
  relay_pool& pool_;
  micros next_run_ = 0;  // 0: none is scheduled
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_SERVER_PROBER_H_
