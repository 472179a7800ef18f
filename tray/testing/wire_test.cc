// Tests of the messages of all four sides: what bad input gets.

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>

#include "tray/base/strings.h"
#include "tray/wire/backend_wire.h"
#include "tray/wire/caller_api.h"
#include "tray/wire/peer_wire.h"

using namespace baobabtray;  // NOLINT: test file

namespace {

void ExpectRefused(const std::string& body, const std::string& reason) {
  auto parsed = ParseQueryRequest(body);
  cr_assert(!parsed.ok(), "%s", body.substr(0, 80).c_str());
  std::string message = MessageOf(parsed.status());
  cr_assert(message.find(reason) != std::string::npos, "wanted '%s', got '%s'",
            reason.c_str(), message.c_str());
}

fetch_result Reply(int status) {
  return {.status = status,
          .headers = {{"X-Boot-Id", "7"},
                      {"X-Uptime-Ms", "12"},
                      {"X-State", "cold"},
                      {"X-Index-Version", "3"}},
          .body = "{}"};
}

}  // namespace

Test(callers, bad_input_gets_a_clear_error) {
  ExpectRefused("", "not well-formed");
  ExpectRefused("{\"service\":\"a\"", "not well-formed");
  ExpectRefused("[1]", "must be a JSON object");
  ExpectRefused("{}", "'service' is missing");
  ExpectRefused(R"({"service":1})", "must be a string");
  ExpectRefused(R"({"service":"a","deadline_ms":-5})", "from 1 to");
  ExpectRefused(R"({"service":"a","deadline_ms":99999999999})", "from 1 to");
  ExpectRefused(R"({"service":"a","deadline_ms":1.5})", "must be a number");
  ExpectRefused(R"({"service":"a","deadline_ms":1e400})", "not well-formed");
  ExpectRefused(R"({"service":"a","priority":"now"})", "must be urgent");
  ExpectRefused(R"({"service":"a","idempotent":"no"})", "must be a boolean");
  ExpectRefused(R"({"service":"a","key":""})", "'key' must be");
  ExpectRefused(R"({"service":"a","colour":1})", "unknown field 'colour'");
  ExpectRefused("{\"service\":\"a\",\"payload\":\"\xff\"}", "");
  std::string deep = R"({"service":"a","payload":)" +
                     std::string(100'000, '[') + std::string(100'000, ']') +
                     "}";
  ExpectRefused(deep, "nested deeper");
}

Test(callers, payload_passes_through_as_it_came) {
  auto r = ParseQueryRequest(
      R"({"service":"a","payload":{"x":[1,2.50,"é"]},"deadline_ms":7})");
  cr_assert(r.ok());
  cr_assert_eq(nlohmann::json::parse(*r->payload),
               nlohmann::json::parse(R"({"x":[1,2.5,"é"]})"));
  cr_assert_eq(*r->deadline, 7 * kMillisecond);
}

Test(backend_wire, tells_refusals_that_were_not_run_from_failures) {
  cr_assert_eq(ParseAttemptResult(Reply(200)).end, attempt_end::kAnswered);
  cr_assert_eq(ParseAttemptResult(Reply(503)).end, attempt_end::kFailed);
  fetch_result shed = Reply(503);
  shed.headers.push_back({"X-Not-Run", "shed"});
  cr_assert_eq(ParseAttemptResult(shed).end, attempt_end::kRefused);
  fetch_result gone = Reply(409);
  gone.headers.push_back({"X-Not-Run", "version_gone"});
  cr_assert_eq(ParseAttemptResult(gone).end, attempt_end::kVersionGone);
  cr_assert_eq(ParseAttemptResult(gone).report.state, reported_state::kCold);
}

Test(backend_wire, a_reply_without_stamp_or_whole_json_is_no_answer) {
  fetch_result unstamped = Reply(200);
  unstamped.headers.clear();
  cr_assert_eq(ParseAttemptResult(unstamped).end, attempt_end::kFailed);
  fetch_result torn = Reply(200);
  torn.body = R"({"a":)";
  cr_assert_eq(ParseAttemptResult(torn).end, attempt_end::kFailed);
}

Test(backend_wire, health_reports_out_of_bounds_are_refused) {
  cr_assert(ParseHealthReport(R"({"boot":1,"uptime_ms":2,"state":"ready",
      "versions":[{"version":1,"total":2,"shards":[1,0]}]})")
                .ok());
  for (const char* bad :
       {"", "[]", R"({"boot":1})",
        R"({"boot":1,"uptime_ms":2,"state":"odd","versions":[]})",
        R"({"boot":1,"uptime_ms":2,"state":"ready",
            "versions":[{"version":1,"total":2,"shards":[2]}]})",
        R"({"boot":1,"uptime_ms":2,"state":"ready",
            "versions":[{"version":1,"total":99999,"shards":[]}]})"}) {
    cr_assert(!ParseHealthReport(bad).ok(), "%s", bad);
  }
}

Test(peer_wire, signatures_cover_path_body_and_time) {
  std::string auth = SignPeerMessage("secret", "/peer/digest", "body", 1000);
  cr_assert(VerifyPeerMessage("secret", "/peer/digest", "body", auth, 2000));
  cr_assert(!VerifyPeerMessage("secret", "/peer/digest", "other", auth, 2000));
  cr_assert(!VerifyPeerMessage("secret", "/peer/config", "body", auth, 2000));
  cr_assert(!VerifyPeerMessage("other", "/peer/digest", "body", auth, 2000));
  cr_assert(!VerifyPeerMessage("secret", "/peer/digest", "body", auth,
                               2000 + 2 * kMaxClockSkewMs));
  cr_assert(!VerifyPeerMessage("secret", "/peer/digest", "body", "", 2000));
  cr_assert(!VerifyPeerMessage("secret", "/peer/digest", "body", "x.y", 2000));
}

Test(peer_wire, nonsense_is_refused_and_digests_survive_the_way) {
  for (const char* bad : {"", "{}", R"({"from":{}})", "[1,2]",
                          R"({"from":{"n":"a","d":"d","p":"x","i":1,"s":"live"},
                              "revision":1,"changes":[],"evidence":[]})"}) {
    cr_assert(!ParseDigest(bad).ok(), "%s", bad);
  }
  digest d{.from = {.name = "a",
                    .data_centre = "d",
                    .peer_address = {"1.2.3.4", 5},
                    .incarnation = 9},
           .revision = 4};
  d.evidence.push_back({.server = "s",
                        .stamp = {3, 4},
                        .state = reported_state::kCold,
                        .versions = {{1, 2, {0, 1}}}});
  auto back = ParseDigest(DumpDigest(d));
  cr_assert(back.ok());
  cr_assert_eq(back->evidence[0].versions, d.evidence[0].versions);
  cr_assert_eq(back->from.incarnation, 9u);
  d.evidence[0].versions = {{1, 2, {0, 999}}};
  cr_assert(!ParseDigest(DumpDigest(d)).ok(), "a shard that cannot be");
}

Test(peer_wire, differences_need_their_base) {
  config base{.revision = 3, .text = "one\ntwo\n"};
  config next{.revision = 4, .text = "one\n2\n"};
  next.recent_edits.push_back({.revision = 4, .id = "e"});
  auto m =
      ParseConfigMessage(DumpConfigMessage(MakeConfigMessage(next, &base)));
  cr_assert(m.ok());
  cr_assert_eq(ApplyConfigMessage(*m, &base)->text, next.text);
  cr_assert(!ApplyConfigMessage(*m, nullptr).has_value());
  config other{.revision = 3, .text = "another"};
  cr_assert(!ApplyConfigMessage(*m, &other).has_value());
}
