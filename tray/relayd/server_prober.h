// Keeps connections to backend servers ready on the traffic thread: tries those
// that can't be reached until they can, and connects to second choices ahead of
// need (tray/relay/preconnect.h).
//
// Cost: a look each kWarmLook while services are in use, each kProbeLook while
// a server is unreachable; the looks end when neither is the case.

#ifndef TRAY_RELAYD_SERVER_PROBER_H_
#define TRAY_RELAYD_SERVER_PROBER_H_

#include <asio.hpp>

#include "tray/http/relay_client.h"
#include "tray/relay/servers.h"

namespace baobabtray {

class server_prober {
 public:
  // All must outlive it and belong to the loop's thread.
  server_prober(asio::io_context& loop, relay_client* client, relay_pool* pool)
      : timer_(loop), client_(*client), pool_(*pool) {}

  // Begins the looks, or makes them more frequent; after each event that may
  // leave something to be done.
  void Wake();

 private:
  void Look();
  void ProbeUnreachable(micros now);
  void ConnectAhead(micros now);

  asio::steady_timer timer_;
  relay_client& client_;
  relay_pool& pool_;
  micros next_look_ = 0;  // 0: none
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_SERVER_PROBER_H_
