// Validation and matching of routes. See routes.h.

#include "tray/routes/routes.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <unordered_set>

namespace baobabtray {
namespace {

// Tolerance for the rounding error of a product such as 0.9 x 10 shards.
constexpr double kRoundingTolerance = 1e-9;
constexpr size_t kMaxCustomerName = 200;  // bytes

// Returns why a route is invalid, or "".
std::string ValidationError(const route_config& r) {
  if (r.prefix.empty() || r.prefix.front() != '/' || r.prefix.back() != '/') {
    return "the prefix must start and end with a slash";
  }
  if (r.time_limit <= 0) return "the time limit must be positive";
  if (r.max_servers < 1) return "the maximum number of servers is below 1";
  if (r.targets.empty() == r.shards.empty()) {
    return "exactly one of services and shards must be given";
  }
  double weights = 0;
  for (const weighted_service& t : r.targets) {
    if (!(t.weight >= 0)) return "a weight is negative or not a number";
    weights += t.weight;
  }
  if (!r.targets.empty() && weights <= 0) return "all weights are zero";
  if (!r.is_sharded()) return "";
  if (r.kind != request_kind::kIdempotent) {
    return "a route with shards must be idempotent";
  }
  std::set<std::string> shards(r.shards.begin(), r.shards.end());
  if (shards.size() != r.shards.size()) return "a shard is listed twice";
  if (r.top_records < 1) return "the number of records is below 1";
  if (!(r.min_coverage >= 0 && r.min_coverage <= 1)) {
    return "the minimum coverage is not between 0 and 1";
  }
  return "";
}

// Whether a name can be sent as the value of a header.
bool IsSendable(const std::string& name) {
  auto printable = [](char c) { return c >= ' ' && c <= '~'; };
  return !name.empty() && name.size() <= kMaxCustomerName &&
         name.front() != ' ' && name.back() != ' ' &&
         std::all_of(name.begin(), name.end(), printable);
}

void RemoveInvalidCustomers(route_table* table) {
  std::map<std::string, int> entries;  // by name
  for (const customer_config& c : table->customers) ++entries[c.name];
  for (const auto& [name, count] : entries) {
    if (!IsSendable(name)) {
      table->customer_errors.emplace_back(
          "a customer has no name, or one that no header can carry");
    } else if (count > 1) {
      table->customer_errors.push_back(
          fmt::format("{} customers have the name '{}'", count, name));
    }
  }
  std::erase_if(table->customers, [&](const customer_config& c) {
    return !IsSendable(c.name) || entries[c.name] > 1;
  });
}

void IndexKeys(route_table* table) {
  table->customer_by_key.clear();
  std::unordered_set<std::string> refused = {""};
  for (size_t i = 0; i < table->customers.size(); ++i) {
    const customer_config& customer = table->customers[i];
    for (const std::string& key : customer.keys) {
      if (key.empty()) {
        table->customer_errors.push_back(
            fmt::format("customer '{}' has an empty key", customer.name));
      }
      if (refused.contains(key)) continue;
      auto [found, is_new] =
          table->customer_by_key.emplace(key, static_cast<int>(i));
      int other = found->second;
      if (is_new || other == static_cast<int>(i)) continue;
      table->customer_errors.push_back(
          fmt::format("customers '{}' and '{}' have a key in common",
                      table->customers[other].name, customer.name));
      refused.insert(key);
      table->customer_by_key.erase(found);
    }
  }
}

}  // namespace

absl::Status ValidateAndIndexRoutes(route_table* table) {
  std::set<std::pair<std::string, std::string>> seen;
  table->by_host.clear();
  for (size_t i = 0; i < table->routes.size(); ++i) {
    const route_config& r = table->routes[i];
    std::string reason = ValidationError(r);
    if (reason.empty() && !seen.emplace(r.host, r.prefix).second) {
      reason = "another route has the same host and prefix";
    }
    if (!reason.empty()) {
      return absl::InvalidArgumentError(
          fmt::format("route '{}': {}", r.name, reason));
    }
    table->by_host[r.host].push_back(static_cast<int>(i));
  }
  RemoveInvalidCustomers(table);
  IndexKeys(table);
  for (auto& [host, routes] : table->by_host) {
    std::sort(routes.begin(), routes.end(), [&](int a, int b) {
      return table->routes[a].prefix.size() > table->routes[b].prefix.size();
    });
  }
  return absl::OkStatus();
}

const route_config* MatchRoute(const route_table& table, std::string_view host,
                               std::string_view path) {
  auto found = table.by_host.find(std::string(host));
  if (found == table.by_host.end()) return nullptr;
  for (int i : found->second) {
    if (path.starts_with(table.routes[i].prefix)) return &table.routes[i];
  }
  return nullptr;
}

const customer_config* FindCustomer(const route_table& table,
                                    std::string_view key) {
  auto found = table.customer_by_key.find(std::string(key));
  return found == table.customer_by_key.end() ? nullptr
                                              : &table.customers[found->second];
}

int MinParts(const route_config& route) {
  double min_parts =
      route.min_coverage * static_cast<double>(route.shards.size());
  return std::max(1,
                  static_cast<int>(std::ceil(min_parts - kRoundingTolerance)));
}

}  // namespace baobabtray
