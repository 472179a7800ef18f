// Tests of the relay: merging, the extra request budget, server selection,
// preconnects and the state machine of a request. No network and no real clock.

#include "tray/relay/relay.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "tray/relay/merge.h"
#include "tray/relay/preconnect.h"

using namespace baobabtray;  // NOLINT: test file

namespace {

constexpr micros kStartTime = 1000 * kSecond;

registered_server MakeServer(const std::string& id, const std::string& service,
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

server_reply Served(const std::string& signature = "s") {
  auto response = std::make_shared<backend_response>();
  response->status = 200;
  response->signature = signature;
  return {.outcome = relay_attempt_outcome::kServed, .response = response};
}

server_reply Ended(relay_attempt_outcome outcome) {
  server_reply reply{.outcome = outcome};
  if (outcome == relay_attempt_outcome::kFailed) {
    auto response = std::make_shared<backend_response>();
    response->status = 500;
    reply.response = response;
  }
  return reply;
}

relay_actions Start(test_host* h, relay_request* req) {
  relay_actions actions;
  StartRelay(&h->state, req, h->now, &actions);
  return actions;
}

relay_actions Reply(test_host* h, relay_request* req, uint64_t attempt,
                    const server_reply& reply) {
  relay_actions actions;
  OnRelayAttemptEnd(&h->state, req, attempt, reply, h->now, &actions);
  return actions;
}

relay_actions RunTimer(test_host* h, relay_request* req) {
  cr_assert_neq(req->timer_at, 0);
  h->now = std::max(h->now, req->timer_at);
  relay_actions actions;
  OnRelayTimer(&h->state, req, h->now, &actions);
  return actions;
}

}  // namespace

// ---- Merge -----------------------------------------------------------------

Test(merge, keeps_greatest_records_including_duplicates) {
  std::string a = std::string(16, 'b') + std::string(16, 'a');
  std::string b = std::string(16, 'b') + std::string(16, '\xff') + "rest";
  std::string merged = MergeTopRecords({a, b}, 3);
  cr_assert_eq(merged, std::string(16, '\xff') + std::string(16, 'b') +
                           std::string(16, 'b'));
  cr_assert_eq(MergeTopRecords({a, b}, 100).size(), 4 * kRecordBytes);
  cr_assert_eq(MergeTopRecords({"short"}, 3), "");
}

// ---- Extra request budget --------------------------------------------------

// Many hosts send a few requests each. No host can use the fraction of a
// request that remains of its budget; without rounding offsets, a fifth of the
// fleet's budget would be lost.
Test(extra, many_hosts_together_use_most_of_the_limit) {
  constexpr int kHosts = 76, kFirsts = 15;
  int used = 0;
  for (int i = 0; i < kHosts; ++i) {
    test_host h;
    h.state.pool.host_name = "host-" + std::to_string(i);
    h.state.pool.fleet_extra_floor = 192;
    SetHostCount(&h.state.pool, kHosts, 0);
    extra_budget* budget = &GetOrCreateService(&h.state.pool, "s")->extra;
    for (int n = 0; n < kFirsts; ++n)
      RecordFirst(budget, h.state.pool.extra_request_limits, kStartTime);
    while (TrySpendExtra(budget, h.state.pool.extra_request_limits, kStartTime))
      ++used;
  }
  double limit = 0.2 * kHosts * kFirsts + 192;
  cr_assert_leq(used, limit);
  cr_assert_geq(used, 0.8 * limit, "%d of %f", used, limit);
}

// For any pattern of requests, a window contains no more extra requests than
// the limit allows for the first requests in it.
Test(extra, limit_holds_in_every_window) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    extra_limits limits{.ratio = 0.2, .floor = 5, .window = 10 * kSecond};
    extra_budget budget;
    std::vector<micros> firsts, extras;
    micros now = kStartTime;
    for (int i = 0; i < 4000; ++i) {
      bool burst = (i / 500) % 2 == 1;
      now += static_cast<micros>(random() % (burst ? 10'000 : 100'000));
      if (random() % 2 == 0) {
        RecordFirst(&budget, limits, now);
        firsts.push_back(now);
      }
      if (TrySpendExtra(&budget, limits, now)) extras.push_back(now);
    }
    for (micros end : extras) {
      auto within = [&](const std::vector<micros>& at, micros from) {
        return std::count_if(at.begin(), at.end(),
                             [&](micros t) { return t > from && t <= end; });
      };
      double max_extras =
          limits.ratio * within(firsts, end - limits.window) + limits.floor;
      cr_assert_leq(within(extras, end - limits.window), max_extras, "seed %lu",
                    seed);
    }
    cr_assert_gt(extras.size(), firsts.size() / 10, "seed %lu", seed);
  }
}

// ---- Server selection ------------------------------------------------------

Test(servers, near_server_is_used_until_it_is_slow) {
  test_host h;
  h.AddService("s");
  pick_request r{.service = "s", .now = h.now};
  cr_assert_eq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-a");
  OnSent(h.Server("s-a").get(), 6, h.now);
  r.now = h.now += 8 * kMillisecond;
  OnServed(h.Server("s-a").get(), 6, nullptr, h.now);
  // Its only open request is overdue: the next one goes elsewhere.
  OnSent(h.Server("s-a").get(), 7, h.now);
  r.now = h.now += 100 * kMillisecond;
  cr_assert_neq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-a");
  // The reply arrives late. The server is used again after one pause.
  OnServed(h.Server("s-a").get(), 7, nullptr, h.now);
  r.now = h.now += 1;
  cr_assert_eq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-a");
}

// With many hosts, each may have only one connection to a server.
Test(servers, request_waits_for_near_server_whose_only_connection_is_in_use) {
  test_host h;
  h.AddService("s", 1);
  server_ref near = h.Server("s-a");
  OnSent(near.get(), 1, h.now);
  h.now += 8 * kMillisecond;
  OnServed(near.get(), 1, nullptr, h.now);
  OnSent(near.get(), 2, h.now);
  pick_request r{.service = "s", .now = h.now};
  cr_assert_eq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-a");
  // One request is queued already: another server is expected to be faster.
  OnSent(near.get(), 3, h.now);
  cr_assert_neq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-a");
}

// A rarely used distant server must not look fast because its mean has decayed.
Test(servers, mean_decays_no_lower_than_the_lowest_latency) {
  test_host h;
  h.AddService("s");
  server_ref far = h.Server("s-b");
  OnSent(far.get(), 1, h.now);
  h.now += 27 * kMillisecond;
  OnServed(far.get(), 1, nullptr, h.now);
  h.now += 60 * kSecond;
  cr_assert_geq(ExpectedLatency(*far, 1, h.now), 27 * kMillisecond);
}

// A caller 3 ms away that has to connect spends 12 ms on round trips that the
// host does not see. Its response must leave early enough for the shortest
// target latency of a search.
Test(relay, margin_covers_the_round_trips_of_a_caller_that_connects) {
  constexpr micros kOneWay = 3 * kMillisecond;
  for (micros target : {80 * kMillisecond, 120 * kMillisecond}) {
    cr_assert_geq(ResponseMargin(target, true), 4 * kOneWay + kMillisecond);
    cr_assert_geq(ResponseMargin(target, false), 2 * kOneWay + kMillisecond);
    cr_assert_leq(ResponseMargin(target, true), target / 5);
  }
}

// ---- Preconnects -----------------------------------------------------------

// Preconnects until no more servers are due; returns their ids in order.
std::vector<std::string> PreconnectAll(test_host* h, bool reachable = true) {
  std::vector<std::string> ids;
  for (int round = 0; round < 20; ++round) {
    for (const server_ref& s : TakeDuePreconnects(&h->state.pool, h->now)) {
      ids.push_back(s->info.id);
      OnProbeResult(s.get(), reachable, h->now);
    }
  }
  return ids;
}

// The near server of a shard may pause while the next one is a region away.
Test(preconnect, near_server_and_one_distant_server_are_connected) {
  std::map<std::string, int> far;
  for (int i = 0; i < 40; ++i) {
    test_host h;
    h.state.pool.host_name = "host-" + std::to_string(i);
    h.AddService("s");
    h.AddRoute({"s", "t"});
    cr_assert(PreconnectAll(&h).empty(), "not used yet");
    MarkShardsUsed(&h.state.pool, *h.table, h.now);
    std::vector<std::string> ids = PreconnectAll(&h);
    cr_assert_eq(ids.size(), 2u);
    cr_assert_eq(ids[0], "s-a");
    ++far[ids[1]];
    // The connected distant server is picked next.
    OnSent(h.Server("s-a").get(), 1, h.now);
    std::vector<std::string> excluded = {"s-a"};
    pick_request r{.service = "s", .excluded = &excluded, .now = h.now};
    cr_assert_eq(PickServer(&h.state.pool, r, nullptr)->info.id, ids[1]);
  }
  // The hosts are spread over the distant servers.
  cr_assert_geq(far["s-b"], 10);
  cr_assert_geq(far["s-c"], 10);
}

Test(preconnect, connection_limits_are_respected) {
  test_host h;
  h.AddService("s", 20);
  h.AddRoute({"s", "t"});
  MarkShardsUsed(&h.state.pool, *h.table, h.now);
  SetHostCount(&h.state.pool, 49, 0);
  cr_assert(PreconnectAll(&h).empty(), "49 connections of 48");
  SetHostCount(&h.state.pool, 25, 0);
  cr_assert_eq(PreconnectAll(&h).size(), 1u, "50 would not fit");
  cr_assert(PreconnectAll(&h).empty());
  SetHostCount(&h.state.pool, 24, 0);
  cr_assert_eq(PreconnectAll(&h).size(), 1u, "the second one");
}

// Each reply to a hedge leaves a connection. If those to third servers stayed
// open, servers would be full of connections that are rarely used, and hosts
// that start would find no room.
Test(preconnect, unused_connections_beyond_the_standing_ones_are_closed) {
  struct {
    int hosts;
    size_t standing;
  } cases[] = {{195, 1}, {76, 2}};
  for (const auto& [hosts, standing] : cases) {
    test_host h;
    h.AddService("s", 125);
    SetHostCount(&h.state.pool, hosts, 0);
    for (const char* id : {"s-a", "s-b", "s-c"}) {
      relay_server* s = h.Server(id).get();
      OnSent(s, 1, h.now);
      OnServed(s, 1, nullptr, h.now);
    }
    cr_assert(SurplusConnections(h.state.pool, h.now).empty(), "just used");
    h.now += kMaxSurplusIdle;
    OnSent(h.Server("s-b").get(), 2, h.now);
    h.now += kMaxSurplusIdle;
    for (const server_ref& s : SurplusConnections(h.state.pool, h.now)) {
      cr_assert_neq(s->info.id, "s-b", "it has an open attempt");
    }
    OnGivenUp(h.Server("s-b").get(), 2, false, h.now);
    std::vector<server_ref> surplus = SurplusConnections(h.state.pool, h.now);
    cr_assert_eq(surplus.size(), 3 - standing, "%d hosts", hosts);
    for (const server_ref& s : surplus)
      cr_assert_neq(s->info.id, "s-a", "the near one stays");
  }
}

// ---- Full servers ----------------------------------------------------------

// After a power loss of all hosts, servers still count the old connections and
// reject new ones.
Test(full_servers, request_without_places_is_rejected_at_once) {
  test_host h;
  for (const char* name : {"s", "t", "u", "v"}) h.AddService(name);
  h.AddRoute({"s", "t", "u", "v"});  // three of them have to respond
  for (const char* name : {"s", "t"}) {
    relay_service* service = GetOrCreateService(&h.state.pool, name);
    for (const server_ref& s : service->servers) {
      OnSent(s.get(), 1, h.now);
      OnServerFull(service, s.get(), 1, h.now);
    }
  }
  relay_request req = h.NewRequest();
  relay_actions actions = Start(&h, &req);
  cr_assert(actions.sends.empty());
  cr_assert(req.finished);
  cr_assert_eq(req.outcome, relay_outcome::kNotRun);
  // New connections are tried again after a moment.
  h.now += kSecond;
  relay_request later = h.NewRequest();
  cr_assert_eq(Start(&h, &later).sends.size(), 4u);
}

Test(full_servers, open_connection_is_used_and_hedges_take_no_place) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s"});
  relay_service* service = GetOrCreateService(&h.state.pool, "s");
  OnSent(h.Server("s-a").get(), 1, h.now);
  OnServerFull(service, h.Server("s-a").get(), 1, h.now);
  h.Server("s-b")->connected = true;
  h.now += kSecond;  // s-a is tried again by hosts without a connection
  relay_request req = h.NewRequest();
  relay_actions actions = Start(&h, &req);
  cr_assert_eq(actions.sends.size(), 1u);
  cr_assert_eq(actions.sends[0].server->info.id, "s-b");
  for (int i = 0; i < 100 && !req.finished; ++i) {
    h.now += 5 * kMillisecond;
    relay_actions late;
    OnRelayTimer(&h.state, &req, h.now, &late);
    cr_assert(late.sends.empty(), "a hedge would need a new connection");
  }
  // Without scarcity the request is hedged.
  h.now += 10 * kSecond;
  relay_request hedged = h.NewRequest();
  Start(&h, &hedged);
  h.now += 60 * kMillisecond;
  relay_actions late;
  OnRelayTimer(&h.state, &hedged, h.now, &late);
  cr_assert_eq(late.sends.size(), 1u);
}

// After a power loss of all hosts, servers still count the old connections.
Test(preconnect, starting_host_keeps_one_connection) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s", "t"});
  h.state.pool.started_at = h.now;
  MarkShardsUsed(&h.state.pool, *h.table, h.now);
  std::vector<std::string> ids = PreconnectAll(&h);
  cr_assert_eq(ids.size(), 1u);
  cr_assert_eq(ids[0], "s-a");
  h.now += kStartupPeriod;
  cr_assert_eq(PreconnectAll(&h).size(), 1u);
}

Test(preconnect, lost_connections_are_restored_after_a_delay) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s", "t"});
  MarkShardsUsed(&h.state.pool, *h.table, h.now);
  cr_assert_eq(PreconnectAll(&h, false).size(), 3u, "each server once");
  cr_assert(PreconnectAll(&h).empty());
  h.now += 3 * kSecond;
  cr_assert_eq(PreconnectAll(&h).size(), 2u);
  UpdateConnected(
      &h.state.pool, [](const endpoint&) { return false; }, h.now);
  h.now += 3 * kSecond;
  cr_assert_eq(PreconnectAll(&h).size(), 2u);
  // Connections of a service that is no longer used are not restored.
  UpdateConnected(
      &h.state.pool, [](const endpoint&) { return false; }, h.now);
  h.now += 60 * kSecond;
  cr_assert(PreconnectAll(&h).empty());
}

Test(preconnect, leaving_and_out_of_service_servers_are_not_connected) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s", "t"});
  MarkShardsUsed(&h.state.pool, *h.table, h.now);
  registered_server leaving = MakeServer("s-a", "s", "a");
  leaving.leaving = true;
  UpsertServer(&h.state.pool, leaving, h.now);
  h.state.pool.out_of_service = {"b"};
  std::vector<std::string> ids = PreconnectAll(&h);
  cr_assert_eq(ids.size(), 1u);
  cr_assert_eq(ids[0], "s-c");
}

Test(preconnect, connections_per_round_are_limited) {
  test_host h;
  std::vector<std::string> names;
  for (int i = 0; i < 30; ++i) {
    names.push_back("s" + std::to_string(i));
    h.AddService(names.back());
  }
  h.AddRoute(names);
  MarkShardsUsed(&h.state.pool, *h.table, h.now);
  cr_assert_eq(TakeDuePreconnects(&h.state.pool, h.now).size(),
               kMaxPreconnectsPerRound);
}

Test(servers, backoff_grows_with_each_failure) {
  test_host h;
  h.AddService("s");
  micros last = 0;
  for (int i = 0; i < 4; ++i) {
    OnSent(h.Server("s-a").get(), 1, h.now);
    OnUnreachable(h.Server("s-a").get(), 1, h.now);
    micros backoff = h.Server("s-a")->backoff_until - h.now;
    cr_assert_gt(backoff, last);
    last = backoff;
  }
  pick_request r{.service = "s", .now = h.now};
  cr_assert_neq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-a");
}

// Without probes, requests would repeatedly discover that a server is
// unreachable, and would be late.
Test(servers, unreachable_server_is_probed_and_not_used) {
  test_host h;
  h.AddService("s");
  server_ref unreachable = h.Server("s-a");
  OnSent(unreachable.get(), 1, h.now);
  OnUnreachable(unreachable.get(), 1, h.now);
  int probes = 0;
  for (micros end = h.now + 5 * kSecond; h.now < end; h.now += 50'000) {
    pick_request r{.service = "s", .now = h.now};
    cr_assert_neq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-a");
    for (const server_ref& s : TakeDueProbes(&h.state.pool, h.now)) {
      cr_assert_eq(s, unreachable);
      ++probes;
      OnProbeResult(s.get(), false, h.now);
    }
  }
  cr_assert(probes >= 3 && probes <= 8, "%d probes", probes);
  h.now += 3 * kSecond;
  cr_assert_eq(TakeDueProbes(&h.state.pool, h.now).size(), 1u);
  cr_assert_eq(TakeDueProbes(&h.state.pool, h.now).size(), 0u);
  OnProbeResult(unreachable.get(), true, h.now);
  cr_assert_not(HasUnreachableServers(h.state.pool));
  h.now += 10 * kSecond;
  pick_request r{.service = "s", .now = h.now};
  cr_assert_eq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-a");
}

Test(servers, leaving_and_lapsed_servers_are_briefly_used_as_a_last_resort) {
  test_host h;
  h.AddService("s");
  registered_server leaving = MakeServer("s-a", "s", "a");
  leaving.leaving = true;
  UpsertServer(&h.state.pool, leaving, h.now);
  RemoveServer(&h.state.pool, "s-b", h.now);
  pick_request r{.service = "s", .now = h.now};
  cr_assert_eq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-c");
  std::vector<std::string> excluded = {"s-c"};
  r.excluded = &excluded;
  cr_assert_not_null(PickServer(&h.state.pool, r, nullptr).get());
  // Neither is used until the very end of the drain period.
  r.now = h.now + h.state.pool.drain_period - 1;
  pick_result result;
  cr_assert_null(PickServer(&h.state.pool, r, &result).get());
  cr_assert_eq(result, pick_result::kNoServer);
  RemoveExpiredServers(&h.state.pool, r.now);
  cr_assert_not(h.state.pool.servers_by_id.contains("s-b"));
}

// A delayed write of the server's entry arrives after the entry that says
// leaving. It says ready and has an older sequence number.
Test(servers, delayed_entry_does_not_revert_leaving) {
  test_host h;
  h.AddService("s");
  registered_server entry = MakeServer("s-a", "s", "a");
  entry.sequence = 7;
  entry.leaving = true;
  UpsertServer(&h.state.pool, entry, h.now);
  entry.sequence = 6;
  entry.leaving = false;
  UpsertServer(&h.state.pool, entry, h.now + 1);
  cr_assert(h.Server("s-a")->info.leaving);
  pick_request r{.service = "s", .now = h.now + 10 * kSecond};
  cr_assert_neq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-a");
  // A restarted server numbers its entries from the start.
  entry.started_ms = 2;
  entry.sequence = 1;
  UpsertServer(&h.state.pool, entry, r.now);
  cr_assert_eq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-a");
}

Test(servers, server_that_registers_again_is_used_again) {
  test_host h;
  h.AddService("s");
  for (const char* id : {"s-a", "s-b", "s-c"}) {
    RemoveServer(&h.state.pool, id, h.now);
  }
  h.now += 2 * kSecond;
  pick_request r{.service = "s", .now = h.now};
  cr_assert_not_null(PickServer(&h.state.pool, r, nullptr).get());
  UpsertServer(&h.state.pool, MakeServer("s-a", "s", "a"), h.now);
  r.now = h.now += 5 * kSecond;
  RemoveExpiredServers(&h.state.pool, h.now);
  cr_assert_eq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-a");
  cr_assert_eq(h.state.pool.servers_by_id.size(), 1u);
}

Test(servers, data_centre_out_of_service_gets_no_requests) {
  test_host h;
  h.AddService("s");
  h.state.pool.out_of_service = {"a", "b"};
  pick_request r{.service = "s", .now = h.now};
  cr_assert_eq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-c");
  h.state.pool.out_of_service.insert("c");
  cr_assert_null(PickServer(&h.state.pool, r, nullptr).get());
}

Test(servers, region_restriction_applies_to_every_attempt) {
  test_host h;
  h.AddService("s");
  std::vector<std::string> regions = {"rb"};
  std::vector<std::string> excluded;
  pick_request r{
      .service = "s", .regions = &regions, .excluded = &excluded, .now = h.now};
  cr_assert_eq(PickServer(&h.state.pool, r, nullptr)->info.id, "s-b");
  excluded = {"s-b"};
  cr_assert_null(PickServer(&h.state.pool, r, nullptr).get());
}

Test(servers, restart_under_the_same_id_resets_state) {
  test_host h;
  h.AddService("s");
  server_ref original = h.Server("s-a");
  OnSent(original.get(), 1, h.now);
  OnUnreachable(original.get(), 1, h.now);
  registered_server restarted = MakeServer("s-a", "s", "a");
  restarted.started_ms = 2;
  UpsertServer(&h.state.pool, restarted, h.now);
  cr_assert_eq(h.Server("s-a")->backoff_until, 0);
  cr_assert_eq(h.state.pool.services["s"].servers.size(), 3u);
}

// After a failure of all hosts, each host starts before it sees any other.
// Going by the hosts it sees, each would open all connections of a server.
Test(servers, hosts_that_see_no_others_divide_by_the_recorded_fleet_size) {
  test_host h;
  h.AddService("s", 36);
  relay_service& s = h.state.pool.services["s"];
  h.state.pool.started_at = h.now;
  SetHostCount(&h.state.pool, 1, 8);
  int at_start = ConnectionLimit(h.state.pool, s, h.now);
  int later = ConnectionLimit(h.state.pool, s, h.now + 20 * kSecond);
  cr_assert_leq(8 * later, 36);
  // Servers still count the connections from before the power loss.
  cr_assert_leq(8 * (at_start + at_start), 36);
  SetHostCount(&h.state.pool, 8, 0);
  cr_assert_leq(8 * ConnectionLimit(h.state.pool, s, h.now + 20 * kSecond), 36);
}

Test(servers, cold_rate_is_divided_among_the_hosts) {
  test_host h;
  SetServiceLimits(&h.state.pool,
                   {{.name = "s", .max_connections = 100, .max_cold_rate = 8}});
  registered_server cold = MakeServer("s-a", "s", "a");
  cold.warmup_remaining = 3 * kSecond;
  UpsertServer(&h.state.pool, cold, h.now);
  SetHostCount(&h.state.pool, 4, 0);
  int sent = 0;
  for (micros t = 0; t < 2900 * kMillisecond; t += kMillisecond) {
    pick_request r{.service = "s", .now = h.now + t};
    if (server_ref s = PickServer(&h.state.pool, r, nullptr)) {
      OnSent(s.get(), 1, r.now);
      OnServed(s.get(), 1, nullptr, r.now);
      ++sent;
    }
  }
  // 8/s over 4 hosts for 2.9 s.
  cr_assert_leq(sent, 6);
  cr_assert_geq(sent, 5);
}

// ---- Requests to one service -----------------------------------------------

Test(relay, failed_idempotent_request_is_served_by_another_server) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s"});
  relay_request req = h.NewRequest();
  relay_actions first = Start(&h, &req);
  cr_assert_eq(first.sends.size(), 1u);
  relay_actions second = Reply(&h, &req, first.sends[0].attempt,
                               Ended(relay_attempt_outcome::kBroken));
  cr_assert_eq(second.sends.size(), 1u);
  cr_assert_neq(second.sends[0].server, first.sends[0].server);
  Reply(&h, &req, second.sends[0].attempt, Served());
  cr_assert_eq(req.outcome, relay_outcome::kAnswered);
}

Test(relay, late_request_is_hedged_and_the_first_reply_wins) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s"});
  relay_request req = h.NewRequest();
  relay_actions first = Start(&h, &req);
  relay_actions second = RunTimer(&h, &req);
  cr_assert_eq(second.sends.size(), 1u);
  cr_assert_lt(h.now, req.soft_deadline);
  Reply(&h, &req, second.sends[0].attempt, Served("second"));
  cr_assert(req.finished);
  cr_assert_eq(req.parts[0].response->signature, "second");
  // The other attempt may complete, and is cancelled after a while.
  cr_assert(HasOpenAttempts(req));
  relay_actions lingering = RunTimer(&h, &req);
  cr_assert_eq(lingering.cancels.size(), 1u);
  cr_assert_eq(lingering.cancels[0], first.sends[0].attempt);
  cr_assert_not(HasOpenAttempts(req));
}

// Completes `n` requests whose first attempts take `latency`, without hedges.
// Returns the hedge delay of the next request.
micros HedgeDelayAfter(test_host* h, int n, micros latency) {
  for (int i = 0; i < n; ++i) {
    relay_request req = h->NewRequest();
    relay_actions sent = Start(h, &req);
    h->now += latency;
    for (const relay_send& s : sent.sends) Reply(h, &req, s.attempt, Served());
    cr_assert(req.finished);
    h->now += 10 * kMillisecond;
  }
  relay_request req = h->NewRequest();
  Start(h, &req);
  micros delay = req.parts[0].next_attempt_at - req.start;
  relay_actions ignored;
  OnCallerDisconnected(&h->state, &req, h->now, &ignored);
  return delay;
}

// The second server may be far away and need a new connection.
Test(relay, hedge_is_sent_early_enough_for_a_slow_second_server) {
  test_host h;
  for (const char* s : {"s", "t", "u"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  micros usual = HedgeDelayAfter(&h, 50, 20 * kMillisecond);
  cr_assert_gt(usual, 25 * kMillisecond);
  cr_assert_lt(usual, 40 * kMillisecond);
  // Its replies take 100 of the 112 ms until the soft deadline.
  for (int i = 0; i < 50; ++i) {
    RecordLatency(&h.state.pool.latency["route"].extras, 100 * kMillisecond);
  }
  micros early = HedgeDelayAfter(&h, 1, 20 * kMillisecond);
  cr_assert_lt(early, usual);
  // No request is hedged before most replies have arrived.
  cr_assert_gt(early, 15 * kMillisecond);
}

// Second servers reply late, and there is no budget for early hedges.
Test(relay, hedge_is_scheduled_when_late_even_without_budget) {
  test_host h;
  for (const char* s : {"s", "t", "u"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  h.state.pool.extra_request_limits = {
      .ratio = 0, .floor = 0, .window = 10 * kSecond};
  for (int i = 0; i < 50; ++i) {
    RecordLatency(&h.state.pool.latency["route"].extras, 100 * kMillisecond);
  }
  micros delay = HedgeDelayAfter(&h, 50, 20 * kMillisecond);
  cr_assert_gt(delay, 25 * kMillisecond);
  cr_assert_lt(delay, 40 * kMillisecond, "%ld", delay);
}

Test(relay, non_idempotent_request_is_sent_again_only_if_not_run) {
  for (relay_attempt_outcome outcome :
       {relay_attempt_outcome::kRefused, relay_attempt_outcome::kMisplaced,
        relay_attempt_outcome::kNotSent, relay_attempt_outcome::kServerFull,
        relay_attempt_outcome::kBroken, relay_attempt_outcome::kFailed,
        relay_attempt_outcome::kTimedOut}) {
    test_host h;
    h.AddService("s");
    h.AddRoute({"s"}, request_kind::kNonIdempotent);
    relay_request req = h.NewRequest();
    relay_actions first = Start(&h, &req);
    cr_assert_eq(req.timer_at, req.deadline, "must not be hedged");
    relay_actions second =
        Reply(&h, &req, first.sends[0].attempt, Ended(outcome));
    bool proven = outcome == relay_attempt_outcome::kRefused ||
                  outcome == relay_attempt_outcome::kMisplaced ||
                  outcome == relay_attempt_outcome::kNotSent ||
                  outcome == relay_attempt_outcome::kServerFull;
    cr_assert_eq(
        second.sends.size(), proven ? 1u : 0u, "%s",
        std::string(NameOf(kRelayAttemptOutcomeNames, outcome)).c_str());
    if (!proven) cr_assert_neq(req.outcome, relay_outcome::kNotRun);
  }
}

Test(relay, not_run_is_returned_if_no_attempt_may_have_run) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s"}, request_kind::kNonIdempotent);
  relay_request req = h.NewRequest();
  relay_actions a = Start(&h, &req);
  while (!a.sends.empty()) {
    h.now += kMillisecond;
    a = Reply(&h, &req, a.sends[0].attempt,
              Ended(relay_attempt_outcome::kRefused));
    if (a.sends.empty() && !req.finished) a = RunTimer(&h, &req);
  }
  cr_assert(req.finished);
  cr_assert_eq(req.outcome, relay_outcome::kNotRun);
}

Test(relay, request_to_service_without_servers_is_refused_immediately) {
  test_host h;
  h.AddRoute({"s"});
  relay_request req = h.NewRequest();
  relay_actions a = Start(&h, &req);
  cr_assert(a.sends.empty());
  cr_assert_eq(req.outcome, relay_outcome::kNotRun);
}

Test(relay, request_waits_for_busy_servers) {
  test_host h;
  h.AddService("s", 1);
  h.AddRoute({"s"});
  for (const char* id : {"s-a", "s-b", "s-c"}) {
    // One request on the only connection, and one that waits for it.
    OnSent(h.Server(id).get(), 1, h.now);
    OnSent(h.Server(id).get(), 2, h.now);
  }
  relay_request req = h.NewRequest();
  cr_assert(Start(&h, &req).sends.empty());
  cr_assert_not(req.finished);
  OnServed(h.Server("s-b").get(), 1, nullptr, h.now);
  cr_assert_eq(RunTimer(&h, &req).sends.size(), 1u);
}

// A server at its limit resets new connections, after the request was written.
Test(relay, new_connections_that_may_be_reset_are_verified) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s"});
  relay_request req = h.NewRequest();
  relay_actions a = Start(&h, &req);
  cr_assert_not(a.sends[0].verify_new_connection);
  Reply(&h, &req, a.sends[0].attempt, Ended(relay_attempt_outcome::kBroken));
  h.state.pool.started_at = h.now;
  relay_request next = h.NewRequest();
  cr_assert(Start(&h, &next).sends[0].verify_new_connection, "just started");
  h.state.pool.started_at = 0;
  cr_assert(MayResetConnections(h.state.pool, *h.Server("s-a"), h.now));
  cr_assert_not(MayResetConnections(h.state.pool, *h.Server("s-b"), h.now));
  h.now += 10 * kSecond;
  cr_assert_not(MayResetConnections(h.state.pool, *h.Server("s-a"), h.now));
}

Test(relay, caller_disconnect_cancels_every_attempt) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s"});
  relay_request req = h.NewRequest();
  Start(&h, &req);
  RunTimer(&h, &req);
  relay_actions a;
  OnCallerDisconnected(&h.state, &req, h.now, &a);
  cr_assert_eq(a.cancels.size(), 2u);
  cr_assert_eq(req.outcome, relay_outcome::kCallerDisconnected);
  cr_assert_not(HasOpenAttempts(req));
}

Test(relay, requests_are_distributed_by_weight) {
  test_host h;
  h.AddService("s");
  h.AddService("t");
  route_config* route = h.AddRoute({"s"});
  route->targets = {{.service = "s", .weight = 3},
                    {.service = "t", .weight = 1}};
  std::map<std::string, int> got;
  for (int i = 0; i < 400; ++i) {
    relay_request req = h.NewRequest();
    relay_actions a = Start(&h, &req);
    ++got[a.sends[0].server->info.service];
    Reply(&h, &req, a.sends[0].attempt, Served());
  }
  cr_assert_leq(std::abs(got["s"] - 300), 2);
}

// ---- Requests to several shards --------------------------------------------

Test(gather, is_answered_once_every_shard_has_answered) {
  test_host h;
  for (const char* s : {"s", "t", "u"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  relay_request req = h.NewRequest();
  relay_actions a = Start(&h, &req);
  cr_assert_eq(a.sends.size(), 3u);
  for (const relay_send& send : a.sends) {
    cr_assert_not(req.finished);
    Reply(&h, &req, send.attempt, Served());
  }
  cr_assert_eq(req.outcome, relay_outcome::kAnswered);
}

// If no server of a shard replies, the request is answered in time for the
// route's target latency, without that shard.
Test(gather, unresponsive_shard_is_omitted_at_the_soft_deadline) {
  test_host h;
  for (const char* s : {"s", "t", "u"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  relay_request req = h.NewRequest();
  relay_actions a = Start(&h, &req);
  Reply(&h, &req, a.sends[0].attempt, Served());
  Reply(&h, &req, a.sends[1].attempt, Served());
  while (!req.finished) RunTimer(&h, &req);
  cr_assert_eq(req.outcome, relay_outcome::kPartial);
  cr_assert_eq(h.now, req.soft_deadline);
  cr_assert_eq(req.answered_parts, 2);
}

Test(gather, shard_without_servers_is_not_waited_for) {
  test_host h;
  for (const char* s : {"s", "t"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  relay_request req = h.NewRequest();
  relay_actions a = Start(&h, &req);
  cr_assert_eq(a.sends.size(), 2u);
  for (const relay_send& send : a.sends)
    Reply(&h, &req, send.attempt, Served());
  cr_assert_eq(req.outcome, relay_outcome::kPartial);
  cr_assert_eq(h.now, kStartTime);
}

Test(gather, request_is_refused_if_too_few_shards_have_servers) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s", "t", "u"});
  relay_request req = h.NewRequest();
  cr_assert(Start(&h, &req).sends.empty());
  cr_assert_eq(req.outcome, relay_outcome::kNotRun);
}

// When the servers of two shards refuse nearly half of their requests, the
// extra request budget is too small to retry all of them. A request then waits
// for budget instead of failing at once, and budget goes to requests that need
// it.
Test(gather, refused_part_waits_for_budget) {
  test_host h;
  for (const char* s : {"s", "t", "u"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  h.state.pool.extra_request_limits = {
      .ratio = 0, .floor = 0, .window = 10 * kSecond};
  relay_request req = h.NewRequest();
  relay_actions a = Start(&h, &req);
  Reply(&h, &req, a.sends[0].attempt, Served());
  Reply(&h, &req, a.sends[1].attempt, Ended(relay_attempt_outcome::kRefused));
  Reply(&h, &req, a.sends[2].attempt, Ended(relay_attempt_outcome::kRefused));
  cr_assert_not(req.finished);
  cr_assert(RunTimer(&h, &req).sends.empty());
  // Enough for one needed request per service.
  h.state.pool.extra_request_limits.floor = 1.3;
  cr_assert_eq(RunTimer(&h, &req).sends.size(), 1u, "one part is needed");
  h.state.pool.extra_request_limits.floor = 0;
  relay_actions more;
  while (!req.finished) more = RunTimer(&h, &req);
  cr_assert_leq(h.now, req.deadline);
}

// Two near servers pause at once, and one part may be omitted. The budget that
// is reserved for needed parts goes to one of them.
Test(gather, late_part_is_needed_if_too_few_others_can_respond) {
  test_host h;
  for (const char* s : {"s", "t", "u"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  relay_request req = h.NewRequest();
  relay_actions a = Start(&h, &req);
  Reply(&h, &req, a.sends[0].attempt, Served());
  // Enough for a needed part, but not for one that may be omitted.
  h.state.pool.extra_request_limits = {
      .ratio = 0, .floor = 1.3, .window = 10 * kSecond};
  relay_actions more = RunTimer(&h, &req);
  cr_assert_eq(more.sends.size(), 1u);
  Reply(&h, &req, more.sends[0].attempt, Served());
  while (!req.finished) cr_assert(RunTimer(&h, &req).sends.empty());
  cr_assert_eq(req.outcome, relay_outcome::kPartial);
  cr_assert_lt(req.finished_at - req.start,
               req.route->target_latency - 14 * kMillisecond);
}

Test(extra, part_of_the_budget_is_reserved_for_needed_requests) {
  extra_limits limits{.ratio = 0, .floor = 20, .window = 10 * kSecond};
  extra_budget budget;
  int optional = 0, needed = 0;
  while (TrySpendExtra(&budget, limits, kStartTime, 0.35)) ++optional;
  while (TrySpendExtra(&budget, limits, kStartTime)) ++needed;
  cr_assert_gt(optional, 5);
  cr_assert_gt(needed, 3);
  cr_assert_leq(optional + needed, 20);
}

// Random events: servers reply, fail, refuse or do not reply, callers
// disconnect, servers are added and removed. Checks the guarantees of relay.h
// at the end of every request.
Test(gather, guarantees_hold_for_random_events) {
  for (uint64_t seed = 1; seed <= 3000; ++seed) {
    std::mt19937_64 random(seed);
    test_host h;
    h.state.random.seed(seed);
    h.state.pool.fleet_extra_floor = static_cast<int>(random() % 10);
    SetHostCount(&h.state.pool, 1, 0);
    int shards = 1 + static_cast<int>(random() % 4);
    std::vector<std::string> names;
    for (int i = 0; i < shards; ++i) {
      names.push_back("s" + std::to_string(i));
      h.AddService(names.back(), 1 + static_cast<int>(random() % 8));
    }
    bool non_idempotent = shards == 1 && random() % 2 == 0;
    route_config* route =
        h.AddRoute(names, non_idempotent ? request_kind::kNonIdempotent
                                         : request_kind::kIdempotent);
    route->max_servers = 1 + static_cast<int>(random() % 3);
    relay_request req = h.NewRequest();
    std::vector<uint64_t> open;
    std::map<uint64_t, int> part_of;
    std::map<int, int> may_have_run, sent_to_one;
    bool ran = false;
    auto perform = [&](const relay_actions& a) {
      for (const relay_send& s : a.sends) {
        cr_assert_gt(s.timeout, 0, "seed %lu", seed);
        if (non_idempotent)
          cr_assert(open.empty(), "seed %lu: sent beside an open attempt",
                    seed);
        if (non_idempotent)
          cr_assert_not(ran, "seed %lu: sent again after it may have run",
                        seed);
        open.push_back(s.attempt);
        part_of[s.attempt] = s.part;
        cr_assert_leq(++may_have_run[s.part], route->max_servers, "seed %lu",
                      seed);
      }
      for (uint64_t c : a.cancels) {
        open.erase(std::find(open.begin(), open.end(), c));
      }
    };
    perform(Start(&h, &req));
    for (int step = 0; step < 200 && (!req.finished || !open.empty()); ++step) {
      h.now += static_cast<micros>(random() % (10 * kMillisecond));
      uint64_t draw = random() % 10;
      if (draw < 5 && !open.empty()) {
        size_t at = random() % open.size();
        uint64_t attempt = open[at];
        open.erase(open.begin() + static_cast<long>(at));
        auto outcome = static_cast<relay_attempt_outcome>(random() % 9);
        bool proven = outcome == relay_attempt_outcome::kRefused ||
                      outcome == relay_attempt_outcome::kMisplaced ||
                      outcome == relay_attempt_outcome::kNotSent ||
                      outcome == relay_attempt_outcome::kServerFull ||
                      outcome == relay_attempt_outcome::kNoFreeConnection;
        if (proven) --may_have_run[part_of[attempt]];
        if (!proven) ran = true;
        perform(Reply(&h, &req, attempt,
                      outcome == relay_attempt_outcome::kServed
                          ? Served()
                          : Ended(outcome)));
      } else if (draw == 5) {
        RemoveServer(&h.state.pool, names[0] + "-a", h.now);
      } else if (draw == 6) {
        UpsertServer(&h.state.pool, MakeServer(names[0] + "-a", names[0], "a"),
                     h.now);
      } else if (draw == 7 && random() % 20 == 0) {
        relay_actions a;
        OnCallerDisconnected(&h.state, &req, h.now, &a);
        perform(a);
      } else if (req.timer_at != 0) {
        perform(RunTimer(&h, &req));
      }
    }
    cr_assert(req.finished, "seed %lu: never finishes", seed);
    bool nothing_ran =
        std::all_of(may_have_run.begin(), may_have_run.end(),
                    [](const auto& entry) { return entry.second == 0; });
    if (req.outcome == relay_outcome::kNotRun) {
      cr_assert(nothing_ran, "seed %lu: not_run, but may have run", seed);
    }
    if (req.outcome == relay_outcome::kPartial) {
      cr_assert_geq(req.answered_parts, MinParts(*route), "seed %lu", seed);
    }
    if (req.outcome == relay_outcome::kAnswered) {
      cr_assert_eq(req.answered_parts, shards, "seed %lu", seed);
    }
  }
}
