// One host's state about all backend servers, on which routing decisions are
// based. There is one fleet per daemon, guarded by the engine's lock.
//
// Memory is about 600 bytes per backend server: 4,700 servers take under 3 MB.

#ifndef TRAY_FLEET_FLEET_H_
#define TRAY_FLEET_FLEET_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tray/base/endpoint.h"
#include "tray/base/time.h"
#include "tray/fleet/budget.h"
#include "tray/fleet/latency.h"
#include "tray/fleet/server_report.h"
#include "tray/fleet/shares.h"
#include "tray/fleet/window.h"
#include "tray/text/topology_view.h"

namespace baobabtray {

// Network distance of a backend server from this host, nearest first.
enum class distance { kSameDataCentre, kSameRegion, kOtherRegion };

struct location {
  std::string data_centre;
  std::string region;
};

// A live host of the routing tier, possibly this one.
struct fleet_host {
  std::string name;
  std::string data_centre;
  endpoint peer_endpoint;  // receives forwarded requests

  friend bool operator==(const fleet_host&, const fleet_host&) = default;
};

struct server_state {
  server_window window;
  distance distance_from_host = distance::kOtherRegion;
  // Estimate of this host's open connections, from its sends and cancels. A
  // request beyond these has to open a new connection.
  int connections = 0;
  micros mean_latency = 0;     // moving average; 0: no sample yet
  micros mean_latency_at = 0;  // last update of `mean_latency`
  int load = 0;                // from the newest report
  std::vector<version_report> versions;
  report_stamp versions_stamp;   // of the report that set `versions`
  bool versions_stale = false;   // a reply named a version not in `versions`
  micros last_report_at = 0;     // reply or health report
  std::vector<int> owner_hosts;  // positions in fleet::hosts, best first
};

struct service_state {
  latency_histogram latency;  // of replies of its shards
  budget hedge_budget;
};

struct fleet {
  std::shared_ptr<const topology_view> current_view;
  std::vector<server_state> servers;  // parallel to service_topology::servers
  std::vector<service_state>
      services;                   // parallel to service_topology::services
  std::vector<fleet_host> hosts;  // live hosts, sorted by name
  int self = -1;                  // position in `hosts`
  micros share_raise_delay = kShareRaiseDelay;
  // When all shares of the last change of hosts are in effect.
  micros shares_settled_at = 0;
};

// Makes `next` the current view. Keeps the state of every server that is in
// both views under the same name and address.
void ApplyView(fleet* f, std::shared_ptr<const topology_view> next,
               const location& here, micros now);

// Replaces the live set and recomputes owners and shares.
void ApplyHosts(fleet* f, std::vector<fleet_host> hosts,
                std::string_view self_name, micros now);

// True unless operators have taken the server out of service or the server
// itself is leaving.
bool IsInService(const fleet& f, int server);

// Position in the current topology of a server of `other`, or -1.
int ServerInCurrentView(const fleet& f, const service_topology& other,
                        int server);

// Position in the current topology of a service of `other`, or -1.
int ServiceInCurrentView(const fleet& f, const service_topology& other,
                         int service);

// True if a request sent now would need a new connection.
bool NeedsConnection(const server_state& s);

// Maximum number of connections this host may have open to the server.
int ConnectionShare(const server_state& s);

}  // namespace baobabtray

#endif  // TRAY_FLEET_FLEET_H_
