// Service topology: regions, data centres, customers, services and their
// backend servers, parsed from the operators' YAML text.
//
//   absl::StatusOr<service_topology> parsed = ParseTopology(yaml);
//   if (!parsed.ok()) { ... one error per line, with line and column }
//   const service* s = FindService(*parsed, "alerta-colapso");
//
// Example of a text:
//
//   regions: [andina]
//   data_centres:
//     - {name: bogota-norte, region: andina}
//   services:
//     - name: alerta-colapso
//       depends_on: [colector-01]
//       policy: {deadline_ms: 110, priority: urgent}
//     - name: colector-01
//       shards: 1
//       slots: 2
//       connections: 25
//       connect_ms: 6
//       backend_servers:
//         - {name: c1-a, data_centre: bogota-norte, address: "127.0.0.1:21001"}
//
// A parsed topology is immutable and shared by pointer. Parsing is linear in
// the size of the text, the dependency check in the number of services and
// edges.

#ifndef TRAY_TEXT_TOPOLOGY_H_
#define TRAY_TEXT_TOPOLOGY_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/statusor.h"
#include "tray/base/endpoint.h"
#include "tray/base/enum_names.h"
#include "tray/base/time.h"

namespace baobabtray {

enum class priority { kUrgent, kNormal, kAudit };

constexpr name_table<priority, 3> kPriorityNames = {{
    {priority::kUrgent, "urgent"},
    {priority::kNormal, "normal"},
    {priority::kAudit, "audit"},
}};
constexpr int kPriorityCount = 3;

// Deadline, retry and partial-answer policy of a service.
struct service_policy {
  // The defaults apply to queries that specify none.
  micros default_deadline = 110 * kMillisecond;
  priority default_priority = priority::kNormal;
  bool idempotent = true;      // false: never hedged or resent
  double hedge_budget = 0.05;  // maximum hedges per first attempt
  // From `soft_deadline` after the start, a partial answer may be returned if
  // coverage is at least `min_coverage`. 0: wait for full coverage until the
  // deadline.
  micros soft_deadline = 0;
  double min_coverage = 1.0;
};

// One backend server.
struct backend_server {
  std::string name;
  int service = 0;      // index in service_topology::services
  int data_centre = 0;  // index in service_topology::data_centres
  endpoint address;
  std::vector<int> shards;  // shards of the service it holds, ascending
  int slots = 1;            // requests it processes concurrently
  int connections = 1;      // maximum open connections
  int connect_ms = 0;       // time to open a connection
  int cold_limit = 1;       // maximum concurrent requests while cold
};

struct service {
  std::string name;
  int customer = -1;  // index in service_topology::customers, or -1
  std::vector<int> depends_on;
  int shards = 0;  // 0 for a service that only fans out
  service_policy policy;
  std::vector<int> servers;  // indexes in service_topology::servers
};

struct data_centre {
  std::string name;
  int region = 0;
};

struct customer {
  std::string name;
  int weight = 1;  // relative share when the tier is overloaded
};

struct service_topology {
  std::vector<std::string> regions;
  std::vector<data_centre> data_centres;
  std::vector<customer> customers;
  std::vector<service> services;
  std::vector<backend_server> servers;

  std::unordered_map<std::string, int> service_by_name;
  std::unordered_map<std::string, int> server_by_name;
  std::unordered_map<std::string, int> data_centre_by_name;
};

// Limits enforced by ParseTopology.
constexpr int kMaxShardsPerService = 256;
constexpr int kMaxShardsPerQuery = 512;

// Parses and validates a text. The error message lists all problems found.
absl::StatusOr<service_topology> ParseTopology(std::string_view yaml);

// Returns the service with this name, or null.
const service* FindService(const service_topology& t, std::string_view name);

// Returns the services that a query to `root` involves: `root` and its
// transitive dependencies, each once, in breadth-first order.
std::vector<int> ReachableServices(const service_topology& t, int root);

}  // namespace baobabtray

#endif  // TRAY_TEXT_TOPOLOGY_H_
