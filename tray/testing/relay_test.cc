// Tests of the relay: merging, the extra request budget and the state machine
// of a request. No network and no real clock.

#include "tray/relay/relay.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "tray/relay/merge.h"
#include "tray/testing/relay_test_host.h"

using namespace baobabtray;  // NOLINT: test file

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

// ---- Requests to one service -----------------------------------------------

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
        auto outcome = static_cast<relay_attempt_outcome>(random() % 10);
        bool proven = outcome == relay_attempt_outcome::kRefused ||
                      outcome == relay_attempt_outcome::kMisplaced ||
                      outcome == relay_attempt_outcome::kNotSent ||
                      outcome == relay_attempt_outcome::kServerFull ||
                      outcome == relay_attempt_outcome::kNoFreeConnection ||
                      outcome == relay_attempt_outcome::kExpired;
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
