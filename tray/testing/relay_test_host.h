// Host with routes and servers, and replies of servers, for the tests of the
// relay. No network and no real clock.

#ifndef TRAY_TESTING_RELAY_TEST_HOST_H_
#define TRAY_TESTING_RELAY_TEST_HOST_H_

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tray/relay/relay.h"
#include "tray/relay/retry.h"

namespace baobabtray {

constexpr micros kStartTime = 1000 * kSecond;

inline registered_server MakeServer(const std::string& id,
                                    const std::string& service,
                                    const std::string& data_centre) {
  return {.id = id,
          .service = service,
          .address = {"10.0.0.1", 80},
          .data_centre = data_centre,
          .slots = 2,
          .started_ms = 1};
}

// A relaying host with its routes and servers.
struct test_host {
  relay_state state;
  std::shared_ptr<route_table> table = std::make_shared<route_table>();
  micros now = kStartTime;

  test_host() {
    state.random.seed(1);
    state.pool.data_centre = "a";
    state.pool.region = "ra";
    state.pool.region_of = {{"a", "ra"}, {"b", "rb"}, {"c", "rc"}};
    state.pool.fleet_extra_floor = 100;
    SetHostCount(&state.pool, 1, 0);
  }

  // Adds a service with one server in each data centre.
  void AddService(const std::string& name, int max_connections = 20) {
    SetServiceLimits(&state.pool,
                     {{.name = name, .max_connections = max_connections}});
    for (const char* at : {"a", "b", "c"}) {
      UpsertServer(&state.pool, MakeServer(name + "-" + at, name, at), now);
    }
    // Without this, the offset depends on the names of the service and the
    // host.
    GetOrCreateService(&state.pool, name)->extra.rounding_offset = 0;
  }

  route_config* AddRoute(const std::vector<std::string>& shards,
                         request_kind kind = request_kind::kIdempotent) {
    route_config route{.name = "route",
                       .host = "h",
                       .prefix = "/",
                       .kind = kind,
                       .time_limit = 800 * kMillisecond,
                       .target_latency = 120 * kMillisecond,
                       .max_servers = 2};
    if (shards.size() == 1) {
      route.targets = {{.service = shards[0]}};
    } else {
      route.shards = shards;
      route.top_records = 5;
      route.min_coverage = 0.6;
    }
    table->routes = {route};
    cr_assert(ValidateAndIndexRoutes(table.get()).ok());
    return &table->routes[0];
  }

  relay_request NewRequest() {
    const route_config* route = &table->routes[0];
    return {.id = 1,
            .table = table,
            .route = route,
            .start = now,
            .soft_deadline = now + route->target_latency -
                             ResponseMargin(route->target_latency, false),
            .deadline = now + route->time_limit};
  }

  server_ref Server(const std::string& id) {
    return state.pool.servers_by_id.at(id);
  }
};

inline server_reply Served(const std::string& signature = "s") {
  auto response = std::make_shared<backend_response>();
  response->status = 200;
  response->signature = signature;
  return {.outcome = relay_attempt_outcome::kServed, .response = response};
}

inline server_reply Ended(relay_attempt_outcome outcome) {
  server_reply reply{.outcome = outcome};
  if (outcome == relay_attempt_outcome::kFailed) {
    auto response = std::make_shared<backend_response>();
    response->status = 500;
    reply.response = response;
  }
  return reply;
}

inline relay_actions Start(test_host* h, relay_request* req) {
  relay_actions actions;
  StartRelay(&h->state, req, h->now, &actions);
  return actions;
}

inline relay_actions Reply(test_host* h, relay_request* req, uint64_t attempt,
                           const server_reply& reply) {
  relay_actions actions;
  OnRelayAttemptEnd(&h->state, req, attempt, reply, h->now, &actions);
  return actions;
}

inline relay_actions RunTimer(test_host* h, relay_request* req) {
  cr_assert_neq(req->timer_at, 0);
  h->now = std::max(h->now, req->timer_at);
  relay_actions actions;
  OnRelayTimer(&h->state, req, h->now, &actions);
  return actions;
}

}  // namespace baobabtray

#endif  // TRAY_TESTING_RELAY_TEST_HOST_H_
