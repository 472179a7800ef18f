// The operators' text: regions, data centres, customers, services and the
// backend servers behind them.
//
//   absl::StatusOr<text> parsed = ParseText(yaml);
//   if (!parsed.ok()) { ... every problem, one a line, with line and column }
//   const service* s = FindService(*parsed, "alerta-colapso");
//
// A text, in short:
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
// A parsed text is immutable and passed around by shared pointer. Parsing takes
// time linear in the text; the dependency check is linear in services plus
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

// What a service does with answers that are late or incomplete.
struct service_policy {
  micros default_deadline = 110 * kMillisecond;  // used when a query names none
  priority default_priority =
      priority::kNormal;       // used when a query names none
  bool idempotent = true;      // false: never hedged nor resent
  double hedge_budget = 0.05;  // hedges per first attempt, at most
  // A partial answer may be given `soft_deadline` after the start once coverage
  // reaches `min_coverage`. Zero: wait for full coverage until the deadline.
  micros soft_deadline = 0;
  double min_coverage = 1.0;
};

// One backend server. `index` is its position in text::servers.
struct backend_server {
  std::string name;
  int service = 0;      // position in text::services
  int data_centre = 0;  // position in text::data_centres
  endpoint address;
  std::vector<int> shards;  // of its service, ascending
  int slots = 1;            // requests it works on at once
  int connections = 1;      // connections it accepts at once
  int connect_ms = 0;       // cost of a new connection
  int cold_limit = 1;       // requests it bears at once in cold start
};

struct service {
  std::string name;
  int customer = -1;  // position in text::customers, or -1
  std::vector<int> depends_on;
  int shards = 0;  // own shards; 0 for a service that only fans out
  service_policy policy;
  std::vector<int> servers;  // positions in text::servers
};

struct data_centre {
  std::string name;
  int region = 0;
};

struct customer {
  std::string name;
  int weight = 1;  // share of an overloaded tier
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

// Upper bounds on a text, checked by ParseText.
constexpr int kMaxShardsPerService = 256;
constexpr int kMaxShardsPerQuery = 512;

// Parses and checks a whole text. The error lists all problems found.
absl::StatusOr<service_topology> ParseTopology(std::string_view yaml);

// Returns the service called `name`, or null.
const service* FindService(const service_topology& t, std::string_view name);

// Services that a query to `root` touches: itself and all it transitively
// depends on, each once, in a fixed order.
std::vector<int> ReachableServices(const service_topology& t, int root);

}  // namespace baobabtray

#endif  // TRAY_TEXT_TOPOLOGY_H_
