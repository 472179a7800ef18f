// Tests of replica choice, waiting, version choice, admission, and the random
// checker over whole queries.

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>

#include "tray/base/hash.h"
#include "tray/query/admission.h"
#include "tray/testing/query_simulation.h"

using namespace baobabtray;  // NOLINT: test file

namespace {

constexpr char kText[] = R"(
regions: [r, far]
data_centres: [{name: d1, region: r}, {name: d2, region: r}, {name: d3, region: far}]
customers: [{name: big, weight: 3}, {name: small, weight: 1}]
services:
  - name: s
    customer: big
    shards: 1
    connections: 8
    backend_servers:
      - {name: a, data_centre: d1, address: "1.0.0.1:1"}
      - {name: b, data_centre: d2, address: "1.0.0.1:2"}
      - {name: c, data_centre: d3, address: "1.0.0.1:3"}
  - name: other
    customer: small
    depends_on: [s]
)";

constexpr micros kStart = 10 * kSecond;

// One host whose servers are all warm and hold version 1.
routing_state WarmRouting() {
  routing_state r;
  r.random.seed(1);
  auto t = std::make_shared<const service_topology>(*ParseTopology(kText));
  ApplyView(&r.backends, BuildTopologyView(1, t, {}), {"d1", "r"}, 0);
  ApplyHosts(&r.backends, {{"me", "d1", {}}}, "me", 0);
  for (server_state& s : r.backends.servers) {
    s.versions = {{1, 1, {0}}};
    for (int i = 1; i < 20; ++i) {
      OnSend(&s.window);
      OnReply(&s.window, {.stamp = {1, (uint64_t)i}}, 5000, kStart);
    }
    s.mean_latency = 5000;
  }
  return r;
}

query NewQuery(uint64_t id, bool idempotent = true) {
  query q;
  q.spec = {.id = id,
            .service = 0,
            .idempotent = idempotent,
            .start = kStart,
            .deadline = kStart + 100 * kMillisecond};
  return q;
}

attempt_result Answer(uint64_t uptime, uint64_t version = 1) {
  return {.end = attempt_end::kAnswered,
          .has_report = true,
          .report = {.stamp = {1, uptime}},
          .version = version,
          .body = "1"};
}

choice_request Ask(uint64_t random = 1) {
  return {.service = 0, .version = 1, .now = kStart, .random = random};
}

}  // namespace

Test(choose, least_wait_avoids_the_loaded_and_the_slow) {
  routing_state r = WarmRouting();
  r.backends.servers[0].load = 9;
  r.backends.servers[1].mean_latency = 50'000;
  cr_assert_eq(ChooseReplica(r.backends, choice_mode::kLeastWait, Ask()).server,
               2);
}

Test(choose, two_choices_and_normal_work_stay_near) {
  routing_state r = WarmRouting();
  r.backends.servers[0].mean_latency = 50'000;
  for (uint64_t i = 0; i < 50; ++i) {
    cr_assert_eq(
        ChooseReplica(r.backends, choice_mode::kTwoChoices, Ask(i)).server, 0);
    cr_assert_eq(
        ChooseReplica(r.backends, choice_mode::kTraceTable, Ask(i)).server, 0);
  }
  choice_request urgent = Ask();
  urgent.priority_level = priority::kUrgent;
  cr_assert_neq(
      ChooseReplica(r.backends, choice_mode::kTraceTable, urgent).server, 0);
}

Test(choose, says_why_nothing_is_eligible) {
  routing_state r = WarmRouting();
  choice_request gone = Ask();
  gone.version = 7;
  cr_assert_eq(ChooseReplica(r.backends, r.replica_choice, gone).reason,
               miss_reason::kVersionGone);
  auto t = r.backends.current_view->topology;
  ApplyView(&r.backends,
            BuildTopologyView(2, t,
                              {{place_kind::kDataCentre, "d1"},
                               {place_kind::kDataCentre, "d2"},
                               {place_kind::kDataCentre, "d3"}}),
            {"d1", "r"}, kStart);
  cr_assert_eq(ChooseReplica(r.backends, r.replica_choice, Ask()).reason,
               miss_reason::kOutOfService);
}

Test(choose, a_held_replica_is_no_reason_to_wait_when_a_peer_can_serve) {
  routing_state r = WarmRouting();
  ApplyHosts(&r.backends, {{"me", "d1", {}}, {"peer", "d1", {}}}, "me", kStart);
  OnSend(&r.backends.servers[0].window);
  OnFault(&r.backends.servers[0].window, connection_fault::kRefused, kStart);
  for (int i : {1, 2}) {
    server_window& w = r.backends.servers[i].window;
    w = {.phase = window_phase::kCold, .owner_rank = 1, .owner_count = 2};
  }
  choice c = ChooseReplica(r.backends, r.replica_choice, Ask());
  cr_assert_eq(c.kind, choice_kind::kHandOver);
  cr_assert_neq(c.host, r.backends.self);
}

Test(waiting, shares_by_customer_weight_and_never_starves_audit) {
  wait_queues room;
  for (int i = 0; i < 3000; ++i) {
    for (int rank = 0; rank < kPriorityCount; ++rank) {
      for (int customer = 0; customer < 2; ++customer) {
        AddWaiter(&room, 1,
                  {.priority_level = static_cast<priority>(rank),
                   .customer = customer,
                   .weight = customer == 0 ? 3 : 1});
      }
    }
  }
  int audit = 0, big = 0;
  for (int i = 0; i < 2100; ++i) {
    waiter w = *PopWaiter(&room, 1);
    audit += w.priority_level == priority::kAudit;
    big += w.customer == 0;
  }
  cr_assert_eq(big, 2100 * 3 / 4);
  cr_assert_geq(audit, 2100 * 5 / 75 - 2);
}

Test(waiting, a_waiter_taken_in_vain_keeps_its_turn) {
  wait_queues room;
  waiter_ticket first = AddWaiter(&room, 1, {.query = 1});
  AddWaiter(&room, 1, {.query = 2});
  waiter w = *PopWaiter(&room, 1);
  AddWaiter(&room, 1, w, first);
  cr_assert_eq(PopWaiter(&room, 1)->query, 1u);
  DropWaiter(&room, first);
  cr_assert_eq(room.size, 1);
}

Test(snapshot, newest_version_that_is_complete_everywhere) {
  routing_state r = WarmRouting();
  r.backends.servers[0].versions.push_back({2, 2, {0}});
  snapshot pinned = *PickSnapshot(r.backends, std::vector<int>{0});
  cr_assert_eq(pinned.version, 1u, "version 2 lacks shard 1");
  r.backends.servers[1].versions.push_back({2, 2, {1}});
  pinned = *PickSnapshot(r.backends, std::vector<int>{0});
  cr_assert_eq(pinned.version, 2u);
  cr_assert_eq(pinned.shards.size(), 2u, "the shards are those of the version");
}

Test(snapshot, missing_by_an_operators_hand_is_still_missing) {
  routing_state r = WarmRouting();
  r.backends.servers[0].versions = {{1, 2, {0}}};
  r.backends.servers[1].versions = {{1, 2, {1}}};
  r.backends.servers[2].versions = {};
  auto t = r.backends.current_view->topology;
  ApplyView(&r.backends, BuildTopologyView(2, t, {{place_kind::kServer, "b"}}),
            {"d1", "r"}, kStart);
  query q = NewQuery(1);
  query_actions actions;
  StartQuery(&r, &q, kStart, &actions);
  OnAttemptEnd(&r, &q, actions.sends[0].attempt, Answer(100), kStart, &actions);
  cr_assert(q.finished);
  cr_assert_eq(q.outcome, query_outcome::kPartial);
  cr_assert_eq(q.shards[1].reason, miss_reason::kOutOfService);
}

Test(query, restarts_on_another_version_when_its_own_goes_away) {
  routing_state r = WarmRouting();
  for (server_state& s : r.backends.servers) s.versions.push_back({2, 1, {0}});
  query q = NewQuery(1);
  query_actions actions;
  StartQuery(&r, &q, kStart, &actions);
  cr_assert_eq(q.version, 2u);
  for (server_state& s : r.backends.servers) s.versions.pop_back();
  attempt_result gone{.end = attempt_end::kVersionGone,
                      .has_report = true,
                      .report = {.stamp = {1, 100}}};
  query_actions after;
  OnAttemptEnd(&r, &q, actions.sends[0].attempt, gone, kStart, &after);
  cr_assert_eq(q.version, 1u);
  cr_assert_eq(after.sends.size(), 1u);
}

Test(query, reply_of_another_version_is_never_merged) {
  routing_state r = WarmRouting();
  query q = NewQuery(1);
  query_actions actions;
  StartQuery(&r, &q, kStart, &actions);
  query_actions after;
  OnAttemptEnd(&r, &q, actions.sends[0].attempt, Answer(100, 9), kStart,
               &after);
  cr_assert_eq(q.answered, 0);
  cr_assert_eq(after.sends.size(), 1u, "asked again elsewhere");
}

Test(query, hedges_one_straggler_and_takes_the_first_answer_only) {
  routing_state r = WarmRouting();
  for (int i = 0; i < 32; ++i) {
    RecordLatency(&r.backends.services[0].latency, 5000);
  }
  r.backends.services[0].hedge_budget.tokens = 5;
  query q = NewQuery(1);
  query_actions actions, hedge, after;
  StartQuery(&r, &q, kStart, &actions);
  micros later = kStart + 15 * kMillisecond;
  OnQueryTimer(&r, &q, later, false, &hedge);
  cr_assert_eq(hedge.sends.size(), 1u);
  cr_assert_eq(hedge.sends[0].kind, attempt_kind::kHedge);
  OnAttemptEnd(&r, &q, hedge.sends[0].attempt, Answer(100), later, &after);
  cr_assert(q.finished);
  cr_assert_eq(after.cancels.size(), 1u, "the loser is cancelled");
}

Test(query, a_paused_host_blames_nobody) {
  routing_state r = WarmRouting();
  query q = NewQuery(1);
  query_actions actions, after;
  StartQuery(&r, &q, kStart, &actions);
  OnQueryTimer(&r, &q, kStart + 90 * kMillisecond, true, &after);
  cr_assert(after.sends.empty() && after.cancels.empty());
}

Test(query, non_idempotent_is_unknown_after_a_break_and_retried_if_not_sent) {
  routing_state r = WarmRouting();
  query q = NewQuery(1, false);
  query_actions actions, after;
  StartQuery(&r, &q, kStart, &actions);
  OnAttemptEnd(&r, &q, actions.sends[0].attempt, {.end = attempt_end::kNotSent},
               kStart, &after);
  cr_assert_eq(after.sends.size(), 1u);
  query_actions end;
  OnAttemptEnd(&r, &q, after.sends[0].attempt, {.end = attempt_end::kBroken},
               kStart, &end);
  cr_assert(end.sends.empty());
  cr_assert_eq(q.outcome, query_outcome::kUnknown);
}

Test(query, soft_deadline_answers_from_the_stated_coverage_on) {
  routing_state r = WarmRouting();
  for (server_state& s : r.backends.servers) s.versions = {{1, 2, {0, 1}}};
  query q = NewQuery(1);
  q.spec.soft_deadline = kStart + 20 * kMillisecond;
  q.spec.min_coverage = 0.5;
  query_actions actions, after;
  StartQuery(&r, &q, kStart, &actions);
  OnQueryTimer(&r, &q, q.spec.soft_deadline, false, &after);
  cr_assert(!q.finished, "no coverage yet");
  OnAttemptEnd(&r, &q, actions.sends[0].attempt, Answer(100),
               q.spec.soft_deadline + 1, &after);
  cr_assert(q.finished);
  cr_assert_eq(q.outcome, query_outcome::kPartial);
}

Test(query, nothing_new_goes_to_a_place_taken_out_under_it) {
  routing_state r = WarmRouting();
  query q = NewQuery(1);
  query_actions actions, after;
  StartQuery(&r, &q, kStart, &actions);
  auto t = std::make_shared<const service_topology>(*ParseTopology(kText));
  ApplyView(&r.backends,
            BuildTopologyView(2, t,
                              {{place_kind::kDataCentre, "d1"},
                               {place_kind::kDataCentre, "d2"}}),
            {"d1", "r"}, kStart);
  OnAttemptEnd(&r, &q, actions.sends[0].attempt, {.end = attempt_end::kBroken},
               kStart, &after);
  cr_assert(after.sends.empty() || after.sends[0].server == 2);
}

Test(fleet, a_server_back_in_service_is_cold_until_it_says_ready_anew) {
  routing_state r = WarmRouting();
  auto t = r.backends.current_view->topology;
  location here = {"d1", "r"};
  micros later = kStart + 10 * kSecond;
  ApplyView(&r.backends, BuildTopologyView(2, t, {{place_kind::kServer, "a"}}),
            here, kStart);
  ApplyView(&r.backends, BuildTopologyView(3, t, {}), here, later);
  server_window* w = &r.backends.servers[0].window;
  cr_assert_eq(w->phase, window_phase::kCold);
  OnReport(w, report_source::kPeer, {.stamp = {1, 30}}, later);
  cr_assert_eq(w->phase, window_phase::kCold, "said before it was taken out");
  OnReport(w, report_source::kPeer, {.stamp = {1, 60'000}}, later);
  cr_assert_eq(w->phase, window_phase::kWarming);
}

Test(admit, refuses_what_cannot_be_answered_in_time) {
  routing_state r = WarmRouting();
  for (int i = 0; i < 32; ++i) {
    RecordLatency(&r.backends.services[0].latency, 5000);
  }
  admission_state state;
  cr_assert_eq(Admit(r, state, 0, priority::kNormal, 3000, kStart),
               admission::kTooLate);
  cr_assert_eq(Admit(r, state, 0, priority::kNormal, 100'000, kStart),
               admission::kAccepted);
  shard_key key = ShardKey(HashOf("s"), 0);
  for (int i = 0; i < 1000; ++i) {
    AddWaiter(&r.waiting, key, {.priority_level = priority::kAudit});
  }
  cr_assert_eq(Admit(r, state, 0, priority::kAudit, 100'000, kStart),
               admission::kTooLate);
  cr_assert_eq(Admit(r, state, 0, priority::kUrgent, 100'000, kStart),
               admission::kAccepted, "urgent work does not wait behind audit");
}

Test(admit, a_customer_beyond_its_part_gives_way_when_the_host_is_half_full) {
  routing_state r = WarmRouting();
  admission_state state{.max_active_queries = 100};
  for (int i = 0; i < 60; ++i) AddActiveQuery(&state, 1);
  cr_assert_eq(Admit(r, state, 1, priority::kNormal, kSecond, kStart),
               admission::kCustomerFull);
  cr_assert_eq(Admit(r, state, 0, priority::kNormal, kSecond, kStart),
               admission::kAccepted);
}

Test(random_checker, promises_hold_over_thousands_of_event_orders) {
  testing::world_stats sum;
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    testing::world_stats stats;
    std::string broken = testing::RunWorld(seed, 1500, &stats);
    cr_assert(broken.empty(), "seed %lu: %s", seed, broken.c_str());
    sum.queries += stats.queries;
    sum.sends += stats.sends;
    sum.hedges += stats.hedges;
    sum.cold_sends += stats.cold_sends;
    sum.restarts += stats.restarts;
    sum.complete += stats.complete;
    sum.partial += stats.partial;
    sum.not_run += stats.not_run;
    sum.unknown += stats.unknown;
  }
  fmt::print(
      "queries {} sends {} hedges {} restarts {} cold sends {}; complete "
      "{} partial {} not run {} unknown {}\n",
      sum.queries, sum.sends, sum.hedges, sum.restarts, sum.cold_sends,
      sum.complete, sum.partial, sum.not_run, sum.unknown);
  // The trial reaches what it is meant to check, else it proves nothing.
  cr_assert_gt(sum.queries, 50'000);
  cr_assert_gt(sum.hedges, 100);
  cr_assert_gt(sum.cold_sends, 1'000);
}
