// What one host knows about all backend servers: the state that routing decides
// on. One fleet exists per daemon, guarded by the engine's lock.
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

// How far a backend server is from this host.
enum class distance { kLocal, kRegion, kFar };

// Where a host stands.
struct location {
  std::string data_centre;
  std::string region;
};

// One live host of the tier, this one included.
struct fleet_host {
  std::string name;
  std::string data_centre;
  endpoint peer_endpoint;  // where requests are handed over

  friend bool operator==(const fleet_host&, const fleet_host&) = default;
};

struct server_state {
  server_window window;
  distance away = distance::kFar;
  // Connections that this host has open, by its own sends and cancels. A
  // request beyond them has to pay for a new one.
  int connections = 0;
  micros mean_latency = 0;     // running mean of latency; 0: never tried
  micros mean_latency_at = 0;  // when it was last renewed
  int load = 0;                // as last reported
  std::vector<version_report> versions;
  report_stamp versions_stamp;   // of the report that `versions` is from
  bool versions_stale = false;   // a reply spoke of a version not in `versions`
  micros last_report_at = 0;     // last reply or health report
  std::vector<int> owner_hosts;  // positions in fleet::hosts, best first
};

// What is known about one service.
struct service_state {
  latency_histogram latency;  // of its shards' replies
  budget hedge_budget;
};

struct fleet {
  std::shared_ptr<const topology_view> current_view;
  std::vector<server_state> servers;    // by position in text::servers
  std::vector<service_state> services;  // by position in text::services
  std::vector<fleet_host> hosts;        // live hosts, sorted by name
  int self = -1;                        // position in `hosts`
  micros share_raise_delay = kShareSettle;
  micros shares_settled_at =
      0;  // when shares by the last change of hosts are in force
};

// Puts a new view in force. State of servers that both views have is kept,
// found by name and address.
void ApplyView(fleet* f, std::shared_ptr<const topology_view> next,
               const location& here, micros now);

// Recomputes owners and shares for a changed live set.
void ApplyHosts(fleet* f, std::vector<fleet_host> hosts,
                std::string_view self_name, micros now);

// True if new work may go to the server as far as operators and the server
// itself are concerned.
bool IsInService(const fleet& f, int server);

// Position in the text in force of a server of another text, or -1.
int CurrentServer(const fleet& f, const service_topology& other, int server);

// Position in the text in force of a service of another text, or -1.
int CurrentService(const fleet& f, const service_topology& other, int service);

// True if a request sent now needs a new connection.
bool NeedsConnection(const server_state& s);

// Largest number of connections this host may open to the server.
int ConnectionShare(const server_state& s);

}  // namespace baobabtray

#endif  // TRAY_FLEET_FLEET_H_
