// Tests of the message formats for callers, backend servers and peers, mainly
// with invalid input.

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tray/base/strings.h"
#include "tray/testing/odd_json.h"
#include "tray/wire/backend_wire.h"
#include "tray/wire/caller_api.h"
#include "tray/wire/peer_wire.h"
#include "tray/wire/store_client.h"

using namespace baobabtray;  // NOLINT: test file

namespace {

void ExpectRejected(const std::string& body, const std::string& reason) {
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

// As AcceptedOdd, with -1 in each field that holds a whole number.
std::string NegativeAccepted(
    const std::string& document, const std::vector<typed_field>& fields,
    const std::function<bool(const std::string& text)>& accepts) {
  std::string accepted;
  for (const typed_field& f : fields) {
    if (f.type == field_type::kInteger &&
        accepts(WithField(document, f.pointer, "-1"))) {
      accepted += f.pointer + "\n";
    }
  }
  return accepted;
}

}  // namespace

Test(callers, invalid_requests_get_specific_errors) {
  ExpectRejected("", "not well-formed");
  ExpectRejected("{\"service\":\"a\"", "not well-formed");
  ExpectRejected("[1]", "must be a JSON object");
  ExpectRejected("{}", "'service' is missing");
  ExpectRejected(R"({"service":1})", "must be a string");
  ExpectRejected(R"({"service":"a","deadline_ms":-5})", "from 1 to");
  ExpectRejected(R"({"service":"a","deadline_ms":99999999999})", "from 1 to");
  ExpectRejected(R"({"service":"a","deadline_ms":1.5})", "must be a number");
  ExpectRejected(R"({"service":"a","deadline_ms":1e400})", "not well-formed");
  ExpectRejected(R"({"service":"a","priority":"now"})", "must be urgent");
  ExpectRejected(R"({"service":"a","idempotent":"no"})", "must be a boolean");
  ExpectRejected(R"({"service":"a","key":""})", "'key' must be");
  ExpectRejected(R"({"service":"a","colour":1})", "unknown field 'colour'");
  ExpectRejected("{\"service\":\"a\",\"payload\":\"\xff\"}", "");
  std::string deep = R"({"service":"a","payload":)" +
                     std::string(100'000, '[') + std::string(100'000, ']') +
                     "}";
  ExpectRejected(deep, "nested deeper");
}

Test(callers, payload_is_passed_through) {
  auto r = ParseQueryRequest(
      R"({"service":"a","payload":{"x":[1,2.50,"é"]},"deadline_ms":7})");
  cr_assert(r.ok());
  cr_assert_eq(nlohmann::json::parse(*r->payload),
               nlohmann::json::parse(R"({"x":[1,2.5,"é"]})"));
  cr_assert_eq(*r->deadline, 7 * kMillisecond);
}

Test(backend_wire, distinguishes_requests_not_run_from_failures) {
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

Test(backend_wire, reply_without_state_or_valid_json_is_a_failure) {
  fetch_result without_state = Reply(200);
  without_state.headers.clear();
  cr_assert_eq(ParseAttemptResult(without_state).end, attempt_end::kFailed);
  fetch_result truncated = Reply(200);
  truncated.body = R"({"a":)";
  cr_assert_eq(ParseAttemptResult(truncated).end, attempt_end::kFailed);
}

Test(backend_wire, invalid_health_reports_are_rejected) {
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

// Guards against odd reports and messages: each field of another type, a
// fraction or out of range.
Test(backend_wire, health_reports_with_an_odd_field_are_rejected) {
  const std::string good =
      R"({"boot":1,"uptime_ms":2,"state":"ready","cold_limit":3,"load":4,)"
      R"("versions":[{"version":1,"total":2,"shards":[0,1]}]})";
  cr_assert(ParseHealthReport(good).ok());
  const std::vector<typed_field> fields = {
      {"/boot", field_type::kInteger},
      {"/uptime_ms", field_type::kInteger},
      {"/state", field_type::kString},
      {"/cold_limit", field_type::kInteger},
      {"/load", field_type::kInteger},
      {"/versions", field_type::kArray},
      {"/versions/0/version", field_type::kInteger},
      {"/versions/0/total", field_type::kInteger},
      {"/versions/0/shards", field_type::kArray},
      {"/versions/0/shards/1", field_type::kInteger},
  };
  auto accepts = [](const std::string& text) {
    return ParseHealthReport(text).ok();
  };
  cr_expect_eq(AcceptedOdd(good, fields, accepts), "");
  cr_expect_eq(NegativeAccepted(good, fields, accepts), "");
}

Test(backend_wire, odd_numbers_in_headers_are_ignored) {
  for (const char* odd : {"-1", "1.5", "nan", "99999999999999999999", "true"}) {
    fetch_result r = {.status = 200,
                      .headers = {{"X-Boot-Id", "1"},
                                  {"X-Uptime-Ms", "1"},
                                  {"X-State", "ready"},
                                  {"X-Cold-Limit", odd},
                                  {"X-Load", odd}},
                      .body = "{}"};
    attempt_result a = ParseAttemptResult(r);
    cr_expect(a.has_report);
    cr_expect_geq(a.report.load, 0, "%s", odd);
    cr_expect_geq(a.report.cold_limit, 0, "%s", odd);
    http_request forwarded = {.headers = {{"x-service", "s"},
                                          {"x-shard", odd},
                                          {"x-index-version", "1"},
                                          {"x-priority", "urgent"},
                                          {"x-idempotent", "1"},
                                          {"x-deadline-ms", "5"}}};
    cr_expect_not(ParseShardRequest(forwarded).ok(), "shard %s", odd);
    forwarded.headers[1].second = "1";
    cr_assert(ParseShardRequest(forwarded).ok());
    for (const char* deadline : {odd, "0", "9223372036854775807"}) {
      forwarded.headers[5].second = deadline;
      cr_expect_not(ParseShardRequest(forwarded).ok(), "%s", deadline);
    }
  }
}

Test(peer_wire, digests_with_an_odd_field_are_rejected) {
  const std::string good =
      R"({"from":{"n":"a","d":"z","p":"1.2.3.4:5","i":9,"s":"live"},)"
      R"("revision":4,"changes":[],"evidence":[{"n":"s","b":3,"u":4,)"
      R"("s":"cold","c":5,"v":[[1,2,[0,1]]]}]})";
  cr_assert(ParseDigest(good).ok());
  const std::vector<typed_field> fields = {
      {"/from/n", field_type::kString},
      {"/from/d", field_type::kString},
      {"/from/p", field_type::kString},
      {"/from/i", field_type::kInteger},
      {"/from/s", field_type::kString},
      {"/revision", field_type::kInteger},
      {"/changes", field_type::kArray},
      {"/evidence", field_type::kArray},
      {"/evidence/0/n", field_type::kString},
      {"/evidence/0/b", field_type::kInteger},
      {"/evidence/0/u", field_type::kInteger},
      {"/evidence/0/s", field_type::kString},
      {"/evidence/0/c", field_type::kInteger},
      {"/evidence/0/v", field_type::kArray},
      {"/evidence/0/v/0/0", field_type::kInteger},
      {"/evidence/0/v/0/1", field_type::kInteger},
      {"/evidence/0/v/0/2", field_type::kArray},
      {"/evidence/0/v/0/2/0", field_type::kInteger},
  };
  auto accepts = [](const std::string& text) { return ParseDigest(text).ok(); };
  cr_expect_eq(AcceptedOdd(good, fields, accepts), "");
  cr_expect_eq(NegativeAccepted(good, fields, accepts), "");
  // A member with the highest incarnation could not be contradicted any more.
  cr_expect_not(
      ParseDigest(WithField(good, "/from/i", "18446744073709551615")).ok());
}

// Guards against a delta whose lengths wrap around, from a peer that is not
// well: reading beyond the text ended the process.
Test(peer_wire, deltas_with_odd_lengths_are_rejected) {
  config base{.revision = 3, .text = "one\ntwo\n"};
  config next{.revision = 4, .text = "one\n2\n"};
  std::string good = DumpConfigMessage(MakeConfigMessage(next, &base));
  auto apply = [&](const std::string& text) {
    auto m = ParseConfigMessage(text);
    return m.ok() && ApplyConfigMessage(*m, &base).has_value();
  };
  cr_assert(apply(good));
  for (const char* field : {"/delta/2", "/delta/3"}) {
    for (const char* odd : {"18446744073709551615", "18446744073709551614",
                            "1000", "-1", "2.5", "true", "null", "1e300"}) {
      cr_expect_not(apply(WithField(good, field, odd)), "%s %s", field, odd);
    }
  }
  std::string wraps = WithField(good, "/delta/2", "2");
  cr_expect_not(apply(WithField(wraps, "/delta/3", "18446744073709551615")));
  const std::vector<typed_field> fields = {
      {"/meta", field_type::kString},    {"/base", field_type::kInteger},
      {"/delta", field_type::kArray},    {"/delta/0", field_type::kString},
      {"/delta/1", field_type::kString}, {"/delta/4", field_type::kString},
  };
  cr_expect_eq(AcceptedOdd(good, fields, apply), "");
}

// Guards against one odd entry in the list of hosts, or one odd answer, that
// ends the process: the types of fields were not checked.
Test(peer_wire, odd_hosts_and_revisions_are_ignored) {
  const std::string good =
      R"([{"name":"a","peers":"1.2.3.4:5","leaving":false},)"
      R"({"name":"b","peers":"1.2.3.4:6"}])";
  cr_assert_eq(DecodeHostList(good).size(), 2u);
  const std::vector<typed_field> fields = {{"/0/name", field_type::kString},
                                           {"/0/peers", field_type::kString},
                                           {"/0/leaving", field_type::kBool}};
  auto accepts = [](const std::string& text) {
    return DecodeHostList(text).size() > 1;
  };
  cr_expect_eq(AcceptedOdd(good, fields, accepts), "");
  for (const std::string& odd : {std::string("{}"), std::string("[7,null,[]]"),
                                 DeepJson(), std::string()})
    cr_expect(DecodeHostList(odd).empty());
  cr_expect_eq(ParseRevision(R"({"revision":7})"), 7);
  for (const std::string& odd : OddFor(field_type::kInteger))
    cr_expect_eq(ParseRevision("{\"revision\":" + odd + "}"), -1);
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

Test(peer_wire, invalid_digests_are_rejected_and_valid_ones_round_trip) {
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
  auto parsed = ParseDigest(DumpDigest(d));
  cr_assert(parsed.ok());
  cr_assert_eq(parsed->evidence[0].versions, d.evidence[0].versions);
  cr_assert_eq(parsed->from.incarnation, 9u);
  d.evidence[0].versions = {{1, 2, {0, 999}}};
  cr_assert(!ParseDigest(DumpDigest(d)).ok(), "a shard that cannot be");
}

Test(peer_wire, deltas_require_their_base) {
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
