// Routes: which backend servers a caller's request goes to, and its bounds.
//
//   absl::Status problem = FinishRoutes(&table);      // checks and indexes it
//   const route* way = MatchRoute(table, host, path);  // null: no such route
//
// A table is one version of the operators' configuration. It is immutable once
// finished, and a request keeps the one that it was matched in.

#ifndef TRAY_ROUTES_ROUTES_H_
#define TRAY_ROUTES_ROUTES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "tray/base/names.h"
#include "tray/base/time.h"

namespace baobabtray {

// What may be repeated.
enum class request_kind {
  kIdempotent,     // may run any number of times
  kNonIdempotent,  // runs at most once for each request of a caller
};
constexpr name_table<request_kind, 2> kRequestKindNames = {{
    {request_kind::kIdempotent, "idempotent"},
    {request_kind::kNonIdempotent, "non_idempotent"},
}};

// A service that takes a part of a route's requests.
struct weighted_service {
  std::string service;
  double weight = 1;
};

struct route_config {
  std::string name;
  std::string host;
  std::string prefix;  // of the path; begins and ends with a slash
  request_kind kind = request_kind::kIdempotent;
  micros time_limit = 0;      // a caller is kept waiting no longer
  micros target_latency = 0;  // an answer within this is on time
  int max_servers = 1;  // that may run one request, or its part of a shard
  int priority = 0;     // 0 is the most urgent
  // Exactly one of these is not empty.
  std::vector<weighted_service> targets;  // one of them answers
  std::vector<std::string> shards;        // services that all have a part
  // Of a route with shards.
  int top_records = 0;        // records in an answer, the greatest first
  double min_coverage = 1.0;  // share of the shards that an answer needs
  // Regions that may serve it; empty: all.
  std::vector<std::string> regions;

  bool is_sharded() const { return !shards.empty(); }
};

// What the operators say about a service.
struct service_limits {
  std::string name;
  int max_connections = 0;   // to one backend server, of all hosts together
  double max_cold_rate = 0;  // requests/s a cold server bears; 0: no bound
};

struct request_limits {
  size_t max_head_bytes = 16 << 10;
  size_t max_body_bytes = 1 << 20;
};

struct route_table {
  int64_t version = 0;
  std::vector<route_config> routes;
  std::vector<service_limits> services;
  request_limits limits;
  // Made by FinishRoutes: positions in `routes` by host, longest prefix first.
  std::unordered_map<std::string, std::vector<int>> by_host;
};

// Checks a table and builds its index. A table with any problem is refused as a
// whole.
absl::Status ValidateAndIndexRoutes(route_table* table);

// The route with the longest prefix of `path` on `host`, or null.
const route_config* MatchRoute(const route_table& table, std::string_view host,
                               std::string_view path);

// Smallest number of parts that makes an answer.
int MinParts(const route_config& route);

}  // namespace baobabtray

#endif  // TRAY_ROUTES_ROUTES_H_
