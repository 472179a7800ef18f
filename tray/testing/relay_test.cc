// Tests of relayed requests: choice of servers, extra requests, the life of a
// request, merging. No network and no clock.

#include "tray/relay/relay.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "tray/relay/merge.h"
#include "tray/relay/warm.h"

using namespace baobabtray;  // NOLINT: test file

namespace {

constexpr micros kStart = 1000 * kSecond;

registered_server Entry(const std::string& id, const std::string& service,
                        const std::string& data_centre) {
  return {.id = id,
          .service = service,
          .address = {"10.0.0.1", 80},
          .data_centre = data_centre,
          .slots = 2,
          .started_ms = 1};
}

// One host with its servers, and the requests that it relays.
struct host {
  relay_state r;
  std::shared_ptr<route_table> table = std::make_shared<route_table>();
  micros now = kStart;

  host() {
    r.random.seed(1);
    r.pool.data_centre = "a";
    r.pool.region = "ra";
    r.pool.region_of = {{"a", "ra"}, {"b", "rb"}, {"c", "rc"}};
    r.pool.extra_floor = 100;
    SetHosts(&r.pool, 1, 0);
  }

  // A service with one server in each data centre.
  void AddService(const std::string& name, int max_connections = 20) {
    SetTerms(&r.pool, {{.name = name, .max_connections = max_connections}});
    for (const char* at : {"a", "b", "c"}) {
      PutServer(&r.pool, Entry(name + "-" + at, name, at), now);
    }
    ServiceOf(&r.pool, name)->extra.rounding = 0;  // bounds are exact here
  }

  route* AddRoute(const std::vector<std::string>& shards,
                  request_kind kind = request_kind::kIdempotent) {
    route way{.name = "way",
              .host = "h",
              .prefix = "/",
              .kind = kind,
              .time_limit = 800 * kMillisecond,
              .aim = 120 * kMillisecond,
              .max_servers = 2};
    if (shards.size() == 1) {
      way.targets = {{.service = shards[0]}};
    } else {
      way.shards = shards;
      way.top_records = 5;
      way.min_coverage = 0.6;
    }
    table->routes = {way};
    cr_assert(FinishRoutes(table.get()).ok());
    return &table->routes[0];
  }

  relay_query Query() {
    const route* way = &table->routes[0];
    return {.id = 1,
            .table = table,
            .way = way,
            .start = now,
            .aim_at = now + way->aim - AnswerMargin(way->aim),
            .deadline = now + way->time_limit};
  }

  server_ref Server(const std::string& id) { return r.pool.by_id.at(id); }
};

server_reply Served(const std::string& signature = "s") {
  auto answer = std::make_shared<relay_answer>();
  answer->status = 200;
  answer->signature = signature;
  return {.kind = reply_kind::kServed, .answer = answer};
}

server_reply Ended(reply_kind kind) {
  server_reply reply{.kind = kind};
  if (kind == reply_kind::kFailed) {
    auto answer = std::make_shared<relay_answer>();
    answer->status = 500;
    reply.answer = answer;
  }
  return reply;
}

// Starts a request and returns the servers that it was sent to.
relay_actions Start(host* h, relay_query* q) {
  relay_actions actions;
  StartRelay(&h->r, q, h->now, &actions);
  return actions;
}

relay_actions Reply(host* h, relay_query* q, uint64_t attempt,
                    const server_reply& reply) {
  relay_actions actions;
  OnRelayReply(&h->r, q, attempt, reply, h->now, &actions);
  return actions;
}

relay_actions RunTimer(host* h, relay_query* q) {
  cr_assert_neq(q->timer_at, 0);
  h->now = std::max(h->now, q->timer_at);
  relay_actions actions;
  OnRelayTimer(&h->r, q, h->now, &actions);
  return actions;
}

}  // namespace

// ---- Merge -----------------------------------------------------------------

Test(merge, keeps_the_greatest_records_with_equal_ones) {
  std::string a = std::string(16, 'b') + std::string(16, 'a');
  std::string b = std::string(16, 'b') + std::string(16, '\xff') + "rest";
  std::string merged = MergeGreatest({a, b}, 3);
  cr_assert_eq(merged, std::string(16, '\xff') + std::string(16, 'b') +
                           std::string(16, 'b'));
  cr_assert_eq(MergeGreatest({a, b}, 100).size(), 4 * kRecordBytes);
  cr_assert_eq(MergeGreatest({"short"}, 3), "");
}

// ---- Extra requests --------------------------------------------------------

// Whatever the pattern of requests, no window of the full length holds more
// extras than the bound allows for the firsts in it or in the one before.
// Pattern: many hosts with a few requests each; none may use the part of a
// request that it has left, and together that is a fifth of the bound.
Test(extra, many_hosts_together_use_what_the_bound_allows) {
  constexpr int kHosts = 76, kFirsts = 15;
  int used = 0;
  for (int i = 0; i < kHosts; ++i) {
    host h;
    h.r.pool.host = "host-" + std::to_string(i);
    h.r.pool.extra_floor = 192;
    SetHosts(&h.r.pool, kHosts, 0);
    extra_window* w = &ServiceOf(&h.r.pool, "s")->extra;
    for (int n = 0; n < kFirsts; ++n) CountFirst(w, h.r.pool.extra, kStart);
    while (SpendExtra(w, h.r.pool.extra, kStart)) ++used;
  }
  double bound = 0.2 * kHosts * kFirsts + 192;
  cr_assert_leq(used, bound);
  cr_assert_geq(used, 0.8 * bound, "%d of %f", used, bound);
}

Test(extra, bound_holds_in_every_window) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    extra_bounds b{.ratio = 0.2, .floor = 5, .window = 10 * kSecond};
    extra_window w;
    std::vector<micros> firsts, extras;
    micros now = kStart;
    for (int i = 0; i < 4000; ++i) {
      bool burst = (i / 500) % 2 == 1;
      now += static_cast<micros>(random() % (burst ? 10'000 : 100'000));
      if (random() % 2 == 0) {
        CountFirst(&w, b, now);
        firsts.push_back(now);
      }
      if (SpendExtra(&w, b, now)) extras.push_back(now);
    }
    for (micros end : extras) {
      auto within = [&](const std::vector<micros>& at, micros from) {
        return std::count_if(at.begin(), at.end(),
                             [&](micros t) { return t > from && t <= end; });
      };
      double most = b.ratio * within(firsts, end - b.window) + b.floor;
      cr_assert_leq(within(extras, end - b.window), most, "seed %lu", seed);
    }
    cr_assert_gt(extras.size(), firsts.size() / 10, "seed %lu", seed);
  }
}

// ---- Choice ----------------------------------------------------------------

Test(servers, near_server_is_used_until_it_is_slow) {
  host h;
  h.AddService("s");
  pick_request r{.service = "s", .now = h.now};
  cr_assert_eq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-a");
  OnSent(h.Server("s-a").get(), 6, h.now);
  r.now = h.now += 8 * kMillisecond;
  OnServed(h.Server("s-a").get(), 6, nullptr, h.now);
  // Its one open request grows old: the next goes elsewhere.
  OnSent(h.Server("s-a").get(), 7, h.now);
  r.now = h.now += 100 * kMillisecond;
  cr_assert_neq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-a");
  // The reply comes, late: one pause does not condemn the server.
  OnServed(h.Server("s-a").get(), 7, nullptr, h.now);
  r.now = h.now += 1;
  cr_assert_eq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-a");
}

// Pattern: so many hosts that each may have one connection to a server.
Test(servers, near_server_is_waited_for_when_its_only_connection_is_in_use) {
  host h;
  h.AddService("s", 1);
  server_ref near = h.Server("s-a");
  OnSent(near.get(), 1, h.now);
  h.now += 8 * kMillisecond;
  OnServed(near.get(), 1, nullptr, h.now);
  OnSent(near.get(), 2, h.now);
  pick_request r{.service = "s", .now = h.now};
  cr_assert_eq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-a");
  // One waits already: another server is nearer in time.
  OnSent(near.get(), 3, h.now);
  cr_assert_neq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-a");
}

// Pattern: a far server that is asked rarely looks fast as its mean is
// forgotten.
Test(servers, mean_is_forgotten_no_further_than_the_fastest_reply) {
  host h;
  h.AddService("s");
  server_ref far = h.Server("s-b");
  OnSent(far.get(), 1, h.now);
  h.now += 27 * kMillisecond;
  OnServed(far.get(), 1, nullptr, h.now);
  h.now += 60 * kSecond;
  cr_assert_geq(ExpectedTime(*far, 1, h.now), 27 * kMillisecond);
}

// ---- Connections ahead of need ---------------------------------------------

// Looks until nothing is left to be connected; returns who was.
std::vector<std::string> Warm(host* h, bool reachable = true) {
  std::vector<std::string> ids;
  for (int look = 0; look < 20; ++look) {
    for (const server_ref& s : TakeWarmups(&h->r.pool, h->now)) {
      ids.push_back(s->info.id);
      OnProbed(s.get(), reachable, h->now);
    }
  }
  return ids;
}

// Pattern: the near server of a shard pauses, the next is a region away.
Test(warm, near_server_and_one_far_one_are_connected) {
  std::map<std::string, int> far;
  for (int i = 0; i < 40; ++i) {
    host h;
    h.r.pool.host = "host-" + std::to_string(i);
    h.AddService("s");
    h.AddRoute({"s", "t"});
    cr_assert(Warm(&h).empty(), "not in use yet");
    NoteShards(&h.r.pool, *h.table, h.now);
    std::vector<std::string> ids = Warm(&h);
    cr_assert_eq(ids.size(), 2u);
    cr_assert_eq(ids[0], "s-a");
    ++far[ids[1]];
    // The one that is connected is the next to be asked.
    OnSent(h.Server("s-a").get(), 1, h.now);
    std::vector<std::string> asked = {"s-a"};
    pick_request r{.service = "s", .asked = &asked, .now = h.now};
    cr_assert_eq(PickServer(&h.r.pool, r, nullptr)->info.id, ids[1]);
  }
  // Hosts divide themselves over the far servers.
  cr_assert_geq(far["s-b"], 10);
  cr_assert_geq(far["s-c"], 10);
}

Test(warm, no_more_than_fits_the_servers_limits) {
  host h;
  h.AddService("s", 20);
  h.AddRoute({"s", "t"});
  NoteShards(&h.r.pool, *h.table, h.now);
  SetHosts(&h.r.pool, 25, 0);
  cr_assert(Warm(&h).empty());
  SetHosts(&h.r.pool, 24, 0);
  cr_assert_eq(Warm(&h).size(), 2u);
}

// Pattern: all hosts lose power together; servers still count their
// connections.
Test(warm, a_host_that_has_just_started_keeps_one_connection) {
  host h;
  h.AddService("s");
  h.AddRoute({"s", "t"});
  h.r.pool.started_at = h.now;
  NoteShards(&h.r.pool, *h.table, h.now);
  std::vector<std::string> ids = Warm(&h);
  cr_assert_eq(ids.size(), 1u);
  cr_assert_eq(ids[0], "s-a");
  h.now += kStartTime;
  cr_assert_eq(Warm(&h).size(), 1u);
}

Test(warm, lost_connections_are_made_again_but_not_at_once) {
  host h;
  h.AddService("s");
  h.AddRoute({"s", "t"});
  NoteShards(&h.r.pool, *h.table, h.now);
  cr_assert_eq(Warm(&h, false).size(), 3u, "each server once");
  cr_assert(Warm(&h).empty());
  h.now += 3 * kSecond;
  cr_assert_eq(Warm(&h).size(), 2u);
  NoteConnections(
      &h.r.pool, [](const endpoint&) { return false; }, h.now);
  h.now += 3 * kSecond;
  cr_assert_eq(Warm(&h).size(), 2u);
  // Not used for long: nobody keeps its connections.
  NoteConnections(
      &h.r.pool, [](const endpoint&) { return false; }, h.now);
  h.now += 60 * kSecond;
  cr_assert(Warm(&h).empty());
}

Test(warm, servers_that_leave_or_are_out_of_service_are_not_connected) {
  host h;
  h.AddService("s");
  h.AddRoute({"s", "t"});
  NoteShards(&h.r.pool, *h.table, h.now);
  registered_server leaving = Entry("s-a", "s", "a");
  leaving.leaving = true;
  PutServer(&h.r.pool, leaving, h.now);
  h.r.pool.out_of_service = {"b"};
  std::vector<std::string> ids = Warm(&h);
  cr_assert_eq(ids.size(), 1u);
  cr_assert_eq(ids[0], "s-c");
}

Test(warm, a_look_makes_few_connections) {
  host h;
  std::vector<std::string> names;
  for (int i = 0; i < 30; ++i) {
    names.push_back("s" + std::to_string(i));
    h.AddService(names.back());
  }
  h.AddRoute(names);
  NoteShards(&h.r.pool, *h.table, h.now);
  cr_assert_eq(TakeWarmups(&h.r.pool, h.now).size(), kWarmupsPerLook);
}

Test(servers, unreachable_server_is_held_longer_each_time) {
  host h;
  h.AddService("s");
  micros last = 0;
  for (int i = 0; i < 4; ++i) {
    OnSent(h.Server("s-a").get(), 1, h.now);
    OnUnreachable(h.Server("s-a").get(), 1, h.now);
    micros hold = h.Server("s-a")->held_until - h.now;
    cr_assert_gt(hold, last);
    last = hold;
  }
  pick_request r{.service = "s", .now = h.now};
  cr_assert_neq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-a");
}

// Two servers of a shard are dark. Without probes a request would find out
// about each again and again, and be late.
Test(servers, unreachable_server_is_probed_and_not_asked) {
  host h;
  h.AddService("s");
  server_ref dark = h.Server("s-a");
  OnSent(dark.get(), 1, h.now);
  OnUnreachable(dark.get(), 1, h.now);
  int probes = 0;
  for (micros end = h.now + 5 * kSecond; h.now < end; h.now += 50'000) {
    pick_request r{.service = "s", .now = h.now};
    cr_assert_neq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-a");
    for (const server_ref& s : TakeProbes(&h.r.pool, h.now)) {
      cr_assert_eq(s, dark);
      ++probes;
      OnProbed(s.get(), false, h.now);
    }
  }
  cr_assert(probes >= 3 && probes <= 8, "%d probes", probes);
  h.now += 3 * kSecond;
  cr_assert_eq(TakeProbes(&h.r.pool, h.now).size(), 1u);
  cr_assert_eq(TakeProbes(&h.r.pool, h.now).size(), 0u);
  OnProbed(dark.get(), true, h.now);
  cr_assert_not(HasUnreachable(h.r.pool));
  h.now += 10 * kSecond;
  pick_request r{.service = "s", .now = h.now};
  cr_assert_eq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-a");
}

Test(servers, leaving_and_lapsed_servers_are_a_last_resort_for_a_while) {
  host h;
  h.AddService("s");
  registered_server leaving = Entry("s-a", "s", "a");
  leaving.leaving = true;
  PutServer(&h.r.pool, leaving, h.now);
  RemoveServer(&h.r.pool, "s-b", h.now);
  pick_request r{.service = "s", .now = h.now};
  cr_assert_eq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-c");
  std::vector<std::string> asked = {"s-c"};
  r.asked = &asked;
  cr_assert_not_null(PickServer(&h.r.pool, r, nullptr).get());
  // Never as late as the bound on leaving servers.
  r.now = h.now + h.r.pool.leave_time - 1;
  pick_problem problem;
  cr_assert_null(PickServer(&h.r.pool, r, &problem).get());
  cr_assert_eq(problem, pick_problem::kNoServer);
  SweepServers(&h.r.pool, r.now);
  cr_assert_not(h.r.pool.by_id.contains("s-b"));
}

// A write of the server's own that was delayed: it says ready again, with an
// older sequence, after the server said that it leaves.
Test(servers, late_entry_does_not_take_back_that_a_server_leaves) {
  host h;
  h.AddService("s");
  registered_server entry = Entry("s-a", "s", "a");
  entry.sequence = 7;
  entry.leaving = true;
  PutServer(&h.r.pool, entry, h.now);
  entry.sequence = 6;
  entry.leaving = false;
  PutServer(&h.r.pool, entry, h.now + 1);
  cr_assert(h.Server("s-a")->info.leaving);
  pick_request r{.service = "s", .now = h.now + 10 * kSecond};
  cr_assert_neq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-a");
  // After another start its counts begin anew.
  entry.started_ms = 2;
  entry.sequence = 1;
  PutServer(&h.r.pool, entry, r.now);
  cr_assert_eq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-a");
}

Test(servers, entry_that_comes_back_after_an_outage_is_used_again) {
  host h;
  h.AddService("s");
  for (const char* id : {"s-a", "s-b", "s-c"}) {
    RemoveServer(&h.r.pool, id, h.now);
  }
  h.now += 2 * kSecond;
  pick_request r{.service = "s", .now = h.now};
  cr_assert_not_null(PickServer(&h.r.pool, r, nullptr).get());
  PutServer(&h.r.pool, Entry("s-a", "s", "a"), h.now);
  r.now = h.now += 5 * kSecond;
  SweepServers(&h.r.pool, h.now);
  cr_assert_eq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-a");
  cr_assert_eq(h.r.pool.by_id.size(), 1u);
}

Test(servers, data_centre_out_of_service_gets_nothing) {
  host h;
  h.AddService("s");
  h.r.pool.out_of_service = {"a", "b"};
  pick_request r{.service = "s", .now = h.now};
  cr_assert_eq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-c");
  h.r.pool.out_of_service.insert("c");
  cr_assert_null(PickServer(&h.r.pool, r, nullptr).get());
}

Test(servers, region_bound_holds_for_every_attempt) {
  host h;
  h.AddService("s");
  std::vector<std::string> regions = {"rb"};
  std::vector<std::string> asked;
  pick_request r{
      .service = "s", .regions = &regions, .asked = &asked, .now = h.now};
  cr_assert_eq(PickServer(&h.r.pool, r, nullptr)->info.id, "s-b");
  asked = {"s-b"};
  cr_assert_null(PickServer(&h.r.pool, r, nullptr).get());
}

Test(servers, restart_under_the_same_id_forgets_everything) {
  host h;
  h.AddService("s");
  server_ref old = h.Server("s-a");
  OnSent(old.get(), 1, h.now);
  OnUnreachable(old.get(), 1, h.now);
  registered_server again = Entry("s-a", "s", "a");
  again.started_ms = 2;
  PutServer(&h.r.pool, again, h.now);
  cr_assert_eq(h.Server("s-a")->held_until, 0);
  cr_assert_eq(h.r.pool.services["s"].servers.size(), 3u);
}

// After a common failure every host starts while it sees no other one. Each
// would open all connections of a server if it went by what it sees.
Test(servers, hosts_that_see_no_others_divide_by_the_recorded_fleet) {
  host h;
  h.AddService("s", 36);
  relay_service& s = h.r.pool.services["s"];
  h.r.pool.started_at = h.now;
  SetHosts(&h.r.pool, 1, 8);
  int at_start = ConnectionsOf(h.r.pool, s, h.now);
  int later = ConnectionsOf(h.r.pool, s, h.now + 20 * kSecond);
  cr_assert_leq(8 * later, 36);
  // Servers still count the connections from before a power loss.
  cr_assert_leq(8 * (at_start + at_start), 36);
  SetHosts(&h.r.pool, 8, 0);
  cr_assert_leq(8 * ConnectionsOf(h.r.pool, s, h.now + 20 * kSecond), 36);
}

Test(servers, cold_server_gets_its_rate_divided_by_the_hosts) {
  host h;
  SetTerms(&h.r.pool, {{.name = "s", .max_connections = 100, .cold_rate = 8}});
  registered_server cold = Entry("s-a", "s", "a");
  cold.cold_for = 3 * kSecond;
  PutServer(&h.r.pool, cold, h.now);
  SetHosts(&h.r.pool, 4, 0);
  int sent = 0;
  for (micros t = 0; t < 2900 * kMillisecond; t += kMillisecond) {
    pick_request r{.service = "s", .now = h.now + t};
    if (server_ref s = PickServer(&h.r.pool, r, nullptr)) {
      OnSent(s.get(), 1, r.now);
      OnServed(s.get(), 1, nullptr, r.now);
      ++sent;
    }
  }
  // 8/s over 4 hosts for 2.9 s.
  cr_assert_leq(sent, 6);
  cr_assert_geq(sent, 5);
}

// ---- One server ------------------------------------------------------------

Test(relay, failed_idempotent_request_is_served_by_another_server) {
  host h;
  h.AddService("s");
  h.AddRoute({"s"});
  relay_query q = h.Query();
  relay_actions first = Start(&h, &q);
  cr_assert_eq(first.sends.size(), 1u);
  relay_actions second =
      Reply(&h, &q, first.sends[0].attempt, Ended(reply_kind::kBroken));
  cr_assert_eq(second.sends.size(), 1u);
  cr_assert_neq(second.sends[0].server, first.sends[0].server);
  Reply(&h, &q, second.sends[0].attempt, Served());
  cr_assert_eq(q.outcome, relay_outcome::kAnswered);
}

Test(relay, late_request_is_asked_again_and_the_first_answer_counts) {
  host h;
  h.AddService("s");
  h.AddRoute({"s"});
  relay_query q = h.Query();
  relay_actions first = Start(&h, &q);
  relay_actions second = RunTimer(&h, &q);
  cr_assert_eq(second.sends.size(), 1u);
  cr_assert_lt(h.now, q.aim_at);
  Reply(&h, &q, second.sends[0].attempt, Served("second"));
  cr_assert(q.finished);
  cr_assert_eq(q.parts[0].answer->signature, "second");
  // The other is left to end by itself, then cut off.
  cr_assert(HasOpenAttempts(q));
  relay_actions cut = RunTimer(&h, &q);
  cr_assert_eq(cut.cancels.size(), 1u);
  cr_assert_eq(cut.cancels[0], first.sends[0].attempt);
  cr_assert_not(HasOpenAttempts(q));
}

// Serves `n` requests over the shards, each first attempt after `first` and
// none asked twice; returns when the next one asks a second server.
micros AskTimeAfter(host* h, int n, micros first) {
  for (int i = 0; i < n; ++i) {
    relay_query q = h->Query();
    relay_actions sent = Start(h, &q);
    h->now += first;
    for (const relay_send& s : sent.sends) Reply(h, &q, s.attempt, Served());
    cr_assert(q.finished);
    h->now += 10 * kMillisecond;
  }
  relay_query q = h->Query();
  Start(h, &q);
  micros asked = q.parts[0].ask_at - q.start;
  relay_actions ignored;
  OnCallerGone(&h->r, &q, h->now, &ignored);
  return asked;
}

// Pattern: a second server is far away and needs a new connection.
Test(relay, second_server_is_asked_in_time_for_its_answer) {
  host h;
  for (const char* s : {"s", "t", "u"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  micros usual = AskTimeAfter(&h, 50, 20 * kMillisecond);
  cr_assert_gt(usual, 25 * kMillisecond);
  cr_assert_lt(usual, 40 * kMillisecond);
  // Its answers take 100 of the 112 ms until the aim.
  for (int i = 0; i < 50; ++i) {
    RecordLatency(&h.r.pool.latency["way"].extras, 100 * kMillisecond);
  }
  micros early = AskTimeAfter(&h, 1, 20 * kMillisecond);
  cr_assert_lt(early, usual);
  // No reply is early enough to be asked again before most have come.
  cr_assert_gt(early, 15 * kMillisecond);
}

// Pattern: second servers answer late, and the bound has no room to ask early.
Test(relay, late_reply_is_asked_again_when_late_whatever_the_bound) {
  host h;
  for (const char* s : {"s", "t", "u"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  h.r.pool.extra = {.ratio = 0, .floor = 0, .window = 10 * kSecond};
  for (int i = 0; i < 50; ++i) {
    RecordLatency(&h.r.pool.latency["way"].extras, 100 * kMillisecond);
  }
  micros asked = AskTimeAfter(&h, 50, 20 * kMillisecond);
  cr_assert_gt(asked, 25 * kMillisecond);
  cr_assert_lt(asked, 40 * kMillisecond, "%ld", asked);
}

Test(relay, non_idempotent_request_is_sent_again_only_if_not_run) {
  for (reply_kind kind :
       {reply_kind::kRefused, reply_kind::kMisplaced, reply_kind::kNotSent,
        reply_kind::kBroken, reply_kind::kFailed, reply_kind::kTimedOut}) {
    host h;
    h.AddService("s");
    h.AddRoute({"s"}, request_kind::kNonIdempotent);
    relay_query q = h.Query();
    relay_actions first = Start(&h, &q);
    cr_assert_eq(q.timer_at, q.deadline, "no second server may be asked");
    relay_actions second = Reply(&h, &q, first.sends[0].attempt, Ended(kind));
    bool proven = kind == reply_kind::kRefused ||
                  kind == reply_kind::kMisplaced ||
                  kind == reply_kind::kNotSent;
    cr_assert_eq(second.sends.size(), proven ? 1u : 0u, "%s",
                 std::string(NameOf(kReplyKindNames, kind)).c_str());
    if (!proven) cr_assert_neq(q.outcome, relay_outcome::kNotRun);
  }
}

Test(relay, not_run_is_said_only_if_every_attempt_proved_it) {
  host h;
  h.AddService("s");
  h.AddRoute({"s"}, request_kind::kNonIdempotent);
  relay_query q = h.Query();
  relay_actions a = Start(&h, &q);
  while (!a.sends.empty()) {
    h.now += kMillisecond;
    a = Reply(&h, &q, a.sends[0].attempt, Ended(reply_kind::kRefused));
    if (a.sends.empty() && !q.finished) a = RunTimer(&h, &q);
  }
  cr_assert(q.finished);
  cr_assert_eq(q.outcome, relay_outcome::kNotRun);
}

Test(relay, service_without_servers_is_refused_at_once) {
  host h;
  h.AddRoute({"s"});
  relay_query q = h.Query();
  relay_actions a = Start(&h, &q);
  cr_assert(a.sends.empty());
  cr_assert_eq(q.outcome, relay_outcome::kNotRun);
}

Test(relay, busy_servers_are_waited_for_within_the_deadline) {
  host h;
  h.AddService("s", 1);
  h.AddRoute({"s"});
  for (const char* id : {"s-a", "s-b", "s-c"}) {
    // One on the only connection, one that waits for it.
    OnSent(h.Server(id).get(), 1, h.now);
    OnSent(h.Server(id).get(), 2, h.now);
  }
  relay_query q = h.Query();
  cr_assert(Start(&h, &q).sends.empty());
  cr_assert_not(q.finished);
  OnServed(h.Server("s-b").get(), 1, nullptr, h.now);
  cr_assert_eq(RunTimer(&h, &q).sends.size(), 1u);
}

// Pattern: a full server resets new connections, after the request was written.
Test(relay, new_connections_to_servers_that_may_reset_them_are_tried_first) {
  host h;
  h.AddService("s");
  h.AddRoute({"s"});
  relay_query q = h.Query();
  relay_actions a = Start(&h, &q);
  cr_assert_not(a.sends[0].cautious);
  Reply(&h, &q, a.sends[0].attempt, Ended(reply_kind::kBroken));
  h.r.pool.started_at = h.now;
  relay_query next = h.Query();
  cr_assert(Start(&h, &next).sends[0].cautious, "just started");
  h.r.pool.started_at = 0;
  cr_assert(MayReset(h.r.pool, *h.Server("s-a"), h.now));
  cr_assert_not(MayReset(h.r.pool, *h.Server("s-b"), h.now));
  h.now += 10 * kSecond;
  cr_assert_not(MayReset(h.r.pool, *h.Server("s-a"), h.now));
}

Test(relay, caller_that_leaves_cancels_every_attempt) {
  host h;
  h.AddService("s");
  h.AddRoute({"s"});
  relay_query q = h.Query();
  Start(&h, &q);
  RunTimer(&h, &q);
  relay_actions a;
  OnCallerGone(&h.r, &q, h.now, &a);
  cr_assert_eq(a.cancels.size(), 2u);
  cr_assert_eq(q.outcome, relay_outcome::kCallerGone);
  cr_assert_not(HasOpenAttempts(q));
}

Test(relay, weights_divide_the_requests) {
  host h;
  h.AddService("s");
  h.AddService("t");
  route* way = h.AddRoute({"s"});
  way->targets = {{.service = "s", .weight = 3}, {.service = "t", .weight = 1}};
  std::map<std::string, int> got;
  for (int i = 0; i < 400; ++i) {
    relay_query q = h.Query();
    relay_actions a = Start(&h, &q);
    ++got[a.sends[0].server->info.service];
    Reply(&h, &q, a.sends[0].attempt, Served());
  }
  cr_assert_leq(std::abs(got["s"] - 300), 2);
}

// ---- Shards ----------------------------------------------------------------

Test(gather, is_answered_once_every_shard_has_answered) {
  host h;
  for (const char* s : {"s", "t", "u"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  relay_query q = h.Query();
  relay_actions a = Start(&h, &q);
  cr_assert_eq(a.sends.size(), 3u);
  for (const relay_send& send : a.sends) {
    cr_assert_not(q.finished);
    Reply(&h, &q, send.attempt, Served());
  }
  cr_assert_eq(q.outcome, relay_outcome::kAnswered);
}

// A shard whose servers are all silent: the answer goes out in time for the
// route's aim, with the parts that are there.
Test(gather, silent_shard_is_left_out_at_the_aim) {
  host h;
  for (const char* s : {"s", "t", "u"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  relay_query q = h.Query();
  relay_actions a = Start(&h, &q);
  Reply(&h, &q, a.sends[0].attempt, Served());
  Reply(&h, &q, a.sends[1].attempt, Served());
  while (!q.finished) RunTimer(&h, &q);
  cr_assert_eq(q.outcome, relay_outcome::kPartial);
  cr_assert_eq(h.now, q.aim_at);
  cr_assert_eq(q.answered, 2);
}

Test(gather, shard_without_servers_is_not_waited_for) {
  host h;
  for (const char* s : {"s", "t"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  relay_query q = h.Query();
  relay_actions a = Start(&h, &q);
  cr_assert_eq(a.sends.size(), 2u);
  for (const relay_send& send : a.sends) Reply(&h, &q, send.attempt, Served());
  cr_assert_eq(q.outcome, relay_outcome::kPartial);
  cr_assert_eq(h.now, kStart);
}

Test(gather, too_few_shards_with_servers_are_refused_before_any_is_asked) {
  host h;
  h.AddService("s");
  h.AddRoute({"s", "t", "u"});
  relay_query q = h.Query();
  cr_assert(Start(&h, &q).sends.empty());
  cr_assert_eq(q.outcome, relay_outcome::kNotRun);
}

// Every server of two shards refuses nearly half of its requests, which is more
// than extra requests may make good. The request waits for room in the bound
// rather than fail at once, and room goes to requests that need it.
Test(gather, refused_part_waits_for_room_in_the_bound) {
  host h;
  for (const char* s : {"s", "t", "u"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  h.r.pool.extra = {.ratio = 0, .floor = 0, .window = 10 * kSecond};
  relay_query q = h.Query();
  relay_actions a = Start(&h, &q);
  Reply(&h, &q, a.sends[0].attempt, Served());
  Reply(&h, &q, a.sends[1].attempt, Ended(reply_kind::kRefused));
  Reply(&h, &q, a.sends[2].attempt, Ended(reply_kind::kRefused));
  cr_assert_not(q.finished);
  cr_assert(RunTimer(&h, &q).sends.empty());
  h.r.pool.extra.floor = 1.3;  // room for one needed request a service
  cr_assert_eq(RunTimer(&h, &q).sends.size(), 1u, "one part is needed");
  h.r.pool.extra.floor = 0;
  relay_actions more;
  while (!q.finished) more = RunTimer(&h, &q);
  cr_assert_leq(h.now, q.deadline);
}

// Pattern: two near servers pause at once, and one part may be left out. The
// room kept for needed parts goes to one of them.
Test(gather, late_part_without_which_too_few_are_in_is_needed) {
  host h;
  for (const char* s : {"s", "t", "u"}) h.AddService(s);
  h.AddRoute({"s", "t", "u"});
  relay_query q = h.Query();
  relay_actions a = Start(&h, &q);
  Reply(&h, &q, a.sends[0].attempt, Served());
  // Room for a needed request, not for one that could be done without.
  h.r.pool.extra = {.ratio = 0, .floor = 1.3, .window = 10 * kSecond};
  relay_actions more = RunTimer(&h, &q);
  cr_assert_eq(more.sends.size(), 1u);
  Reply(&h, &q, more.sends[0].attempt, Served());
  while (!q.finished) cr_assert(RunTimer(&h, &q).sends.empty());
  cr_assert_eq(q.outcome, relay_outcome::kPartial);
  cr_assert_lt(q.finished_at - q.start, q.way->aim - 14 * kMillisecond);
}

Test(extra, a_part_of_the_bound_is_kept_for_needed_requests) {
  extra_bounds b{.ratio = 0, .floor = 20, .window = 10 * kSecond};
  extra_window w;
  int optional = 0, needed = 0;
  while (SpendExtra(&w, b, kStart, 0.35)) ++optional;
  while (SpendExtra(&w, b, kStart)) ++needed;
  cr_assert_gt(optional, 5);
  cr_assert_gt(needed, 3);
  cr_assert_leq(optional + needed, 20);
}

// A random checker: servers answer, fail, refuse and fall silent in any order,
// callers leave, servers come and go. The guarantees of relay.h hold at the end
// of every request.
Test(gather, guarantees_hold_for_random_events) {
  for (uint64_t seed = 1; seed <= 3000; ++seed) {
    std::mt19937_64 random(seed);
    host h;
    h.r.random.seed(seed);
    h.r.pool.extra_floor = static_cast<int>(random() % 10);
    SetHosts(&h.r.pool, 1, 0);
    int shards = 1 + static_cast<int>(random() % 4);
    std::vector<std::string> names;
    for (int i = 0; i < shards; ++i) {
      names.push_back("s" + std::to_string(i));
      h.AddService(names.back(), 1 + static_cast<int>(random() % 8));
    }
    bool once = shards == 1 && random() % 2 == 0;
    route* way = h.AddRoute(
        names, once ? request_kind::kNonIdempotent : request_kind::kIdempotent);
    way->max_servers = 1 + static_cast<int>(random() % 3);
    relay_query q = h.Query();
    std::vector<uint64_t> open;
    std::map<uint64_t, int> part_of;
    std::map<int, int> may_have_run, sent_to_one;
    bool ran = false;
    auto take = [&](const relay_actions& a) {
      for (const relay_send& s : a.sends) {
        cr_assert_gt(s.timeout, 0, "seed %lu", seed);
        if (once) cr_assert(open.empty(), "seed %lu: sent beside", seed);
        if (once) cr_assert_not(ran, "seed %lu: sent twice", seed);
        open.push_back(s.attempt);
        part_of[s.attempt] = s.part;
        cr_assert_leq(++may_have_run[s.part], way->max_servers, "seed %lu",
                      seed);
      }
      for (uint64_t c : a.cancels) {
        open.erase(std::find(open.begin(), open.end(), c));
      }
    };
    take(Start(&h, &q));
    for (int step = 0; step < 200 && (!q.finished || !open.empty()); ++step) {
      h.now += static_cast<micros>(random() % (10 * kMillisecond));
      uint64_t draw = random() % 10;
      if (draw < 5 && !open.empty()) {
        size_t at = random() % open.size();
        uint64_t attempt = open[at];
        open.erase(open.begin() + static_cast<long>(at));
        auto kind = static_cast<reply_kind>(random() % 8);
        bool proven =
            kind == reply_kind::kRefused || kind == reply_kind::kMisplaced ||
            kind == reply_kind::kNotSent || kind == reply_kind::kNoTurn;
        if (proven) --may_have_run[part_of[attempt]];
        if (!proven) ran = true;
        take(Reply(&h, &q, attempt,
                   kind == reply_kind::kServed ? Served() : Ended(kind)));
      } else if (draw == 5) {
        RemoveServer(&h.r.pool, names[0] + "-a", h.now);
      } else if (draw == 6) {
        PutServer(&h.r.pool, Entry(names[0] + "-a", names[0], "a"), h.now);
      } else if (draw == 7 && random() % 20 == 0) {
        relay_actions a;
        OnCallerGone(&h.r, &q, h.now, &a);
        take(a);
      } else if (q.timer_at != 0) {
        take(RunTimer(&h, &q));
      }
    }
    cr_assert(q.finished, "seed %lu: never ends", seed);
    bool nothing_ran =
        std::all_of(may_have_run.begin(), may_have_run.end(),
                    [](const auto& entry) { return entry.second == 0; });
    if (q.outcome == relay_outcome::kNotRun) {
      cr_assert(nothing_ran, "seed %lu: said not to have run", seed);
    }
    if (q.outcome == relay_outcome::kPartial) {
      cr_assert_geq(q.answered, LeastParts(*way), "seed %lu", seed);
    }
    if (q.outcome == relay_outcome::kAnswered) {
      cr_assert_eq(q.answered, shards, "seed %lu", seed);
    }
  }
}
