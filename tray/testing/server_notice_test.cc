// Tests of what servers state of themselves in answers: that they leave, and
// that they want a pause. Linked into relay_test.

#include "tray/relay/server_notice.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

#include "tray/relay/retry_after.h"
#include "tray/testing/relay_test_host.h"

using namespace baobabtray;  // NOLINT: test file

namespace {

server_reply Refused(micros pause) {
  server_reply reply = Ended(relay_attempt_outcome::kRefused);
  if (pause > 0) reply.pause = pause;
  return reply;
}

// Removes all servers but `id`.
void KeepOnly(test_host* h, const std::string& id) {
  for (const char* other : {"s-a", "s-b", "s-c"}) {
    if (other != id) RemoveServer(&h->state.pool, other, h->now);
  }
  h->now += 10 * kSecond;
  RemoveExpiredServers(&h->state.pool, h->now);
}

// Sends a request that its server answers with `reply`; returns the server, or
// "" if none was asked.
std::string Ask(test_host* h, const server_reply& reply) {
  relay_request req = h->NewRequest();
  relay_actions actions = Start(h, &req);
  if (actions.sends.empty()) return "";
  std::string to = actions.sends[0].server->info.id;
  Reply(h, &req, actions.sends[0].attempt, reply);
  return to;
}

}  // namespace

// Guards against requests to a server that said in an answer that it leaves,
// longer than the drain period ago.
Test(server_notice, server_that_says_it_leaves_is_not_asked_after_its_drain) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s"});
  KeepOnly(&h, "s-a");
  server_reply leaving = Served();
  leaving.leaving = true;
  micros said_at = h.now;
  cr_assert_eq(Ask(&h, leaving), "s-a");
  // Neither an entry that says ready nor an answer without the header takes it
  // back.
  registered_server entry = MakeServer("s-a", "s", "a");
  entry.sequence = 9;
  UpsertServer(&h.state.pool, entry, h.now + kSecond);
  h.now += kSecond;
  cr_assert_eq(Ask(&h, Served()), "s-a", "it still serves");
  h.now = said_at + h.state.pool.drain_period;
  relay_request req = h.NewRequest();
  relay_actions actions = Start(&h, &req);
  cr_assert(actions.sends.empty());
  cr_assert_eq(req.outcome, relay_outcome::kNotRun);
  cr_assert_eq(req.finished_at, h.now, "rejected at once");
  // The store drops and adds the entry: the same server.
  RemoveServer(&h.state.pool, "s-a", h.now);
  UpsertServer(&h.state.pool, entry, h.now);
  cr_assert(Ask(&h, Served()).empty());
  // A new server at its address, or under its name, is not barred.
  entry.started_ms = 2;
  UpsertServer(&h.state.pool, entry, h.now);
  cr_assert_eq(Ask(&h, Served()), "s-a");
}

Test(server_notice, other_servers_are_preferred_to_one_that_says_it_leaves) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s"});
  server_reply leaving = Served();
  leaving.leaving = true;
  cr_assert_eq(Ask(&h, leaving), "s-a");
  for (int i = 0; i < 20; ++i) cr_assert_neq(Ask(&h, Served()), "s-a");
  relay_request req = h.NewRequest();
  relay_actions actions = Start(&h, &req);
  actions = RunTimer(&h, &req);  // a hedge
  for (const relay_send& send : actions.sends)
    cr_assert_str_neq(send.server->info.id.c_str(), "s-a");
}

// Guards against requests to a server that asked for a pause.
Test(server_notice, paused_server_gets_no_request_until_the_end) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s"});
  KeepOnly(&h, "s-a");
  micros paused_at = h.now;
  cr_assert_eq(Ask(&h, Refused(2 * kSecond)), "s-a");
  int sent = 0;
  micros resumed_at = 0;
  for (; h.now < paused_at + 3 * kSecond; h.now += 10 * kMillisecond) {
    relay_request req = h.NewRequest();
    relay_actions actions = Start(&h, &req);
    if (actions.sends.empty()) {
      cr_assert_eq(req.outcome, relay_outcome::kNotRun);
      cr_assert_eq(req.finished_at, h.now, "rejected at once");
      cr_assert_eq(RetryAfter(req), kLongRetryAfter);
      continue;
    }
    if (resumed_at == 0) resumed_at = h.now;
    if (h.now < paused_at + 2 * kSecond) ++sent;
    Reply(&h, &req, actions.sends[0].attempt, Served());
  }
  cr_assert_eq(sent, 0);
  cr_assert_lt(resumed_at, paused_at + 2300 * kMillisecond);
}

// A request that was rejected goes to another server, also one that may not be
// repeated, since it has not run.
Test(server_notice, rejected_request_goes_to_another_server) {
  for (request_kind kind :
       {request_kind::kIdempotent, request_kind::kNonIdempotent}) {
    test_host h;
    h.AddService("s");
    h.AddRoute({"s"}, kind);
    relay_request req = h.NewRequest();
    relay_actions actions = Start(&h, &req);
    actions = Reply(&h, &req, actions.sends[0].attempt, Refused(kSecond));
    cr_assert_eq(actions.sends.size(), 1u);
    cr_assert_str_neq(actions.sends[0].server->info.id.c_str(), "s-a");
  }
}

// An answer that does not prove that the request was not run pauses the server,
// but the request is not passed on again.
Test(server_notice, pause_without_proof_repeats_no_unrepeatable_request) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s"}, request_kind::kNonIdempotent);
  relay_request req = h.NewRequest();
  relay_actions actions = Start(&h, &req);
  server_reply reply = Ended(relay_attempt_outcome::kBroken);
  reply.pause = kSecond;
  actions = Reply(&h, &req, actions.sends[0].attempt, reply);
  cr_assert(actions.sends.empty());
  cr_assert_neq(req.outcome, relay_outcome::kNotRun);
  cr_assert(IsPaused(h.Server("s-a")->notice, h.now));
}

Test(server_notice, answer_of_another_server_at_the_address_is_ignored) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s"});
  server_reply reply = Ended(relay_attempt_outcome::kMisplaced);
  reply.leaving = true;
  reply.pause = kSecond;
  cr_assert_eq(Ask(&h, reply), "s-a");
  cr_assert_eq(h.Server("s-a")->notice.leaving_since, 0);
  cr_assert_not(IsPaused(h.Server("s-a")->notice, h.now));
}

Test(server_notice, pause_is_no_fault_and_ends_at_different_moments) {
  test_host h;
  h.AddService("s");
  h.AddRoute({"s"});
  Ask(&h, Refused(kSecond));
  cr_assert_eq(h.Server("s-a")->recent_faults, 0);
  server_notice a, b;
  cr_assert(NotePause(&a, 8 * kSecond, 0.1, kStartTime));
  cr_assert(NotePause(&b, 8 * kSecond, 0.9, kStartTime));
  cr_assert_neq(a.paused_until, b.paused_until);
  cr_assert_leq(b.paused_until, kStartTime + 9 * kSecond);
  // A later, shorter pause does not end it; an endless one ends.
  micros until = a.paused_until;
  cr_assert_not(NotePause(&a, kSecond, 0, kStartTime + kSecond));
  cr_assert_eq(a.paused_until, until);
  NotePause(&a, INT64_MAX / 2, 0.9, kStartTime);
  cr_assert_leq(a.paused_until, kStartTime + 2 * kMaxPause);
}

// Seeded runs over orders of answers, entries, losses of entries and new
// identities, against a plain statement of both rules.
Test(server_notice, both_rules_hold_in_random_orders) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    test_host h;
    h.AddService("s");
    h.AddRoute({"s"});
    struct stated {
      micros left_at = 0;
      micros paused_at = 0, paused_until = 0;
    };
    std::map<const relay_server*, stated> said;
    std::vector<server_ref> kept;  // so that addresses stay distinct
    for (int i = 0; i < 400; ++i, h.now += random() % 100 * kMillisecond) {
      std::string id = std::string("s-") + "abc"[random() % 3];
      switch (random() % 8) {
        case 0: {
          registered_server entry = MakeServer(id, "s", id.substr(2));
          auto known = h.state.pool.servers_by_id.find(id);
          if (known != h.state.pool.servers_by_id.end()) {
            entry.started_ms = known->second->info.started_ms;
            entry.sequence = known->second->info.sequence + 1;
            entry.leaving = random() % 4 == 0;
            if (random() % 4 == 0) ++entry.started_ms;
          }
          UpsertServer(&h.state.pool, entry, h.now);
          break;
        }
        case 1:
          if (random() % 4 == 0) RemoveServer(&h.state.pool, id, h.now);
          RemoveExpiredServers(&h.state.pool, h.now);
          break;
        default: {
          relay_request req = h.NewRequest();
          relay_actions actions = Start(&h, &req);
          if (actions.sends.empty()) break;
          server_ref to = actions.sends[0].server;
          kept.push_back(to);
          stated& s = said[to.get()];
          cr_assert(
              s.left_at == 0 || h.now <= s.left_at + h.state.pool.drain_period,
              "seed %u: asked after it left", seed);
          cr_assert_not(
              h.now >= s.paused_at + kSecond / 2 && h.now < s.paused_until,
              "seed %u: asked while paused", seed);
          bool refuses = random() % 10 == 0;
          server_reply reply =
              refuses ? Refused((1 + random() % 3) * kSecond) : Served();
          reply.leaving = random() % 30 == 0;
          if (reply.leaving && s.left_at == 0) s.left_at = h.now;
          if (refuses) {
            s.paused_at = h.now;
            s.paused_until = std::max(s.paused_until, h.now + *reply.pause);
          }
          Reply(&h, &req, actions.sends[0].attempt, reply);
        }
      }
    }
  }
}
