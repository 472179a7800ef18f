// Routing table: maps a caller's request to backend services and their limits.
//
//   absl::Status status = ValidateAndIndexRoutes(&table);
//   const route_config* route = MatchRoute(table, host, path);  // may be null
//   const customer_config* customer = FindCustomer(table, key);  // may be null
//
// Errors in customers reject these customers only, since a rejected table
// leaves the keys of the one before in force, among them those that were taken
// away.
//
// A table holds one version of the operators' configuration. It is immutable
// after ValidateAndIndexRoutes, and a request keeps a reference to the table in
// which its route was found.

#ifndef TRAY_ROUTES_ROUTES_H_
#define TRAY_ROUTES_ROUTES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "tray/base/enum_names.h"
#include "tray/base/time.h"

namespace baobabtray {

// Whether a request may be executed more than once.
enum class request_kind {
  kIdempotent,     // any number of times
  kNonIdempotent,  // at most once per caller's request
};
constexpr name_table<request_kind, 2> kRequestKindNames = {{
    {request_kind::kIdempotent, "idempotent"},
    {request_kind::kNonIdempotent, "non_idempotent"},
}};

// A service that receives a weighted share of a route's requests.
struct weighted_service {
  std::string service;
  double weight = 1;
};

struct route_config {
  std::string name;
  std::string host;
  std::string prefix;  // of the path; starts and ends with a slash
  request_kind kind = request_kind::kIdempotent;
  micros time_limit = 0;      // upper bound of a request's deadline
  micros target_latency = 0;  // responses within this are on time
  // Servers that may execute one request or, on a route with shards, the part
  // of one shard.
  int max_servers = 1;
  int priority = 0;  // 0 is the most urgent
  // Exactly one of these is not empty.
  std::vector<weighted_service> targets;  // one of them serves each request
  std::vector<std::string> shards;        // services that each serve one part
  // Only for routes with shards.
  int top_records = 0;        // records in a merged response
  double min_coverage = 1.0;  // fraction of the shards that must respond
  // Regions whose servers may be used; empty: all.
  std::vector<std::string> regions;
  bool needs_no_key = false;  // served without a customer's key

  bool is_sharded() const { return !shards.empty(); }
};

// A customer, whose requests carry one of its keys.
struct customer_config {
  std::string name;               // sent to backend servers
  std::vector<std::string> keys;  // secret: never logged or sent
  std::optional<int> priority;    // goes before the route's
  // Requests that run over all hosts together: at most max_rate * t +
  // max_burst in any time t. 0: unlimited.
  double max_rate = 0;  // requests/s
  double max_burst = 0;
  // Regions whose servers may be used; empty: all. Binds beside the route's.
  std::vector<std::string> regions;
};

// Limits that the operators configure for a service.
struct service_limits {
  std::string name;
  int max_connections = 0;   // to one backend server, from all hosts together
  double max_cold_rate = 0;  // requests/s to a cold server; 0: unlimited
};

struct request_limits {
  size_t max_head_bytes = 16 << 10;
  size_t max_body_bytes = 1 << 20;
};

struct route_table {
  int64_t version = 0;
  std::vector<route_config> routes;
  std::vector<service_limits> services;
  // Requests need a key, unless their route says otherwise.
  bool has_customers = false;
  // Valid customers, with distinct names, once indexed.
  std::vector<customer_config> customers;
  // Why customers or keys were left out. Contains no keys.
  std::vector<std::string> customer_errors;
  request_limits limits;
  // Built by ValidateAndIndexRoutes: indexes into `routes` by host, longest
  // prefix first.
  std::unordered_map<std::string, std::vector<int>> by_host;
  // The same: indexes into `customers` by key. Contains no empty key, and no
  // key that two customers hold.
  std::unordered_map<std::string, int> customer_by_key;
};

// Validates a table and builds its index. Customers without a usable or
// distinct name are removed, keys that several hold are refused; both are added
// to `customer_errors`. An error in any route rejects the
// whole table.
absl::Status ValidateAndIndexRoutes(route_table* table);

// Returns the route with the longest prefix of `path` on `host`, or null.
const route_config* MatchRoute(const route_table& table, std::string_view host,
                               std::string_view path);

// Returns the customer that holds `key`, or null. No customer holds "".
const customer_config* FindCustomer(const route_table& table,
                                    std::string_view key);

// Minimum number of shards that must respond on a route with shards.
int MinParts(const route_config& route);

}  // namespace baobabtray

#endif  // TRAY_ROUTES_ROUTES_H_
