// Tests of server selection, preconnects and full servers. Linked into
// relay_test. No network and no real clock.

#include "tray/relay/servers.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "tray/relay/preconnect.h"
#include "tray/relay/relay.h"
#include "tray/testing/relay_test_host.h"

using namespace baobabtray;  // NOLINT: test file

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
Test(preconnect, unused_connections_beyond_two_are_closed) {
  for (int hosts : {76, 195}) {
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
    std::vector<server_ref> surplus = SurplusConnections(h.state.pool, h.now);
    cr_assert_eq(surplus.size(), 1u, "%d hosts", hosts);
    cr_assert_neq(surplus[0]->info.id, "s-a", "the near one stays");
    OnSent(surplus[0].get(), 2, h.now);
    h.now += kMaxSurplusIdle;
    cr_assert(SurplusConnections(h.state.pool, h.now).empty(), "in use");
    OnGivenUp(surplus[0].get(), 2, false, h.now);
    surplus[0]->connected = false;  // closed
    cr_assert(SurplusConnections(h.state.pool, h.now).empty(), "two are left");
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

// Guards against a drain period that counts from the moment at which a host
// learns of the change, on top of the time that this took.
Test(servers, drain_period_counts_from_the_change) {
  for (micros drain : {2 * kSecond, 3 * kSecond, 4 * kSecond, 6 * kSecond}) {
    for (micros late = 0; late <= drain; late += 100 * kMillisecond) {
      for (bool leaving : {false, true}) {
        test_host h;
        h.AddService("s");
        h.state.pool.drain_period = drain;
        micros changed = h.now;
        h.now += late;
        std::vector<std::string> excluded = {"s-b", "s-c"};
        if (leaving) {
          registered_server entry = MakeServer("s-a", "s", "a");
          entry.leaving = true;
          UpsertServer(&h.state.pool, entry, h.now, changed);
        } else {
          RemoveServer(&h.state.pool, "s-a", h.now, changed);
        }
        micros last = 0;
        for (; h.now < changed + 2 * drain; h.now += 10 * kMillisecond) {
          pick_request r{.service = "s", .excluded = &excluded, .now = h.now};
          server_ref s = PickServer(&h.state.pool, r, nullptr);
          if (s == nullptr) continue;
          cr_expect(MayStillSend(h.state.pool, *s, h.now));
          last = h.now - changed;
        }
        // A request takes time to reach the server.
        cr_expect_leq(last, drain - 300 * kMillisecond,
                      "drain %ld, late %ld, leaving %d", drain, late, leaving);
      }
    }
  }
  // After an outage, when the change was made is unknown. Servers that live
  // register again within two seconds.
  test_host h;
  h.AddService("s");
  for (const char* id : {"s-a", "s-b", "s-c"})
    RemoveServer(&h.state.pool, id, h.now);
  pick_request r{.service = "s", .now = h.now + 2 * kSecond};
  cr_expect_not_null(PickServer(&h.state.pool, r, nullptr).get());
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
