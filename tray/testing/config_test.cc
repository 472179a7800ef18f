// Tests of edits, claims and deltas over a store that loses replies.
//
// The fake store applies writes immediately or later, loses replies, and is
// sometimes unreachable. Every verdict is checked against the values that were
// actually stored.

#include "tray/config/config.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "tray/base/strings.h"
#include "tray/config/claim.h"
#include "tray/config/delta.h"
#include "tray/config/edit.h"
#include "tray/testing/odd_json.h"

using namespace baobabtray;  // NOLINT: test file

namespace {

constexpr char kText[] =
    "regions: [r]\n"
    "data_centres: [{name: d1, region: r}, {name: d2, region: r}]\n"
    "services:\n"
    "  - name: s\n    shards: 1\n    backend_servers:\n"
    "      - {name: b, data_centre: d1, address: '1.2.3.4:5'}\n";

// A store with one key. Faults are injected by a seeded random generator.
struct fake_store {
  struct delayed_write {
    uint64_t expected;
    std::string value;
  };
  std::mt19937_64 random;
  double fault_rate = 0.3;
  uint64_t revision = 0;
  std::string value;
  std::vector<delayed_write> delayed_writes;
  std::vector<std::string> history;  // all values ever stored

  bool Chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(random) < p;
  }
  bool Write(uint64_t expected, const std::string& next) {
    if (expected != revision) return false;
    ++revision;
    value = next;
    history.push_back(next);
    return true;
  }
  // Applies a delayed write with some probability.
  void DeliverDelayedWrite() {
    if (delayed_writes.empty() || !Chance(0.4)) return;
    delayed_write w = delayed_writes.back();
    delayed_writes.pop_back();
    Write(w.expected, w.value);
  }
  store_result Read() {
    DeliverDelayedWrite();
    if (Chance(fault_rate / 2)) return {.fault = store_fault::kNotSent};
    if (Chance(fault_rate / 2)) return {.fault = store_fault::kLost};
    if (revision == 0) return {.fault = store_fault::kAbsent};
    return {.revision = revision, .value = value};
  }
  store_result Swap(uint64_t expected, const std::string& next) {
    DeliverDelayedWrite();
    if (Chance(fault_rate / 3)) return {.fault = store_fault::kNotSent};
    if (Chance(fault_rate / 2)) {
      if (Chance(0.3)) {
        delayed_writes.push_back({expected, next});
      } else if (Chance(0.5)) {
        Write(expected, next);
      }
      return {.fault = store_fault::kLost};
    }
    if (!Write(expected, next)) {
      return {.fault = store_fault::kConflict, .revision = revision};
    }
    return {.revision = revision};
  }
};

// True if the edit was ever applied.
bool WasApplied(const fake_store& store, const std::string& id) {
  return std::any_of(store.history.begin(), store.history.end(),
                     [&](const std::string& v) {
                       return FindRecentEdit(*ParseConfig(v), id) != nullptr;
                     });
}

edit_request PlaceEdit(const std::string& id, edit_kind kind) {
  return {.id = id,
          .author = "t",
          .kind = kind,
          .target = {place_kind::kDataCentre, "d1"}};
}

// An edit driven against the store one step at a time.
struct edit_driver {
  edit_operation operation;
  edit_step step = edit_step::kRead;
  void Advance(fake_store* store, micros now) {
    if (step == edit_step::kRead) {
      step = OnStoreRead(&operation, store->Read(), now);
    } else if (step == edit_step::kSwap) {
      step = OnStoreSwap(
          &operation,
          store->Swap(operation.expected_store_revision, operation.next_value),
          now);
    }
  }
};

fake_store StoreWithConfig(uint64_t seed) {
  fake_store store{.random = std::mt19937_64(seed)};
  config first{.revision = 1, .text = kText};
  store.Write(0, DumpConfig(first));
  return store;
}

}  // namespace

Test(edit, verdicts_are_exact_with_store_faults_and_concurrent_edits) {
  int accepted = 0, refused = 0, unknown = 0;
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    fake_store store = StoreWithConfig(seed);
    if (seed % 3 == 0) store.fault_rate = 0.9;
    std::vector<edit_driver> edits(6);
    for (size_t i = 0; i < edits.size(); ++i) {
      edit_kind kind = i % 2 == 0 ? edit_kind::kOut : edit_kind::kIn;
      edits[i].operation.request = PlaceEdit("e" + std::to_string(i), kind);
      edits[i].operation.deadline = 30;
    }
    for (micros now = 0; now < 400; ++now) {
      edits[store.random() % edits.size()].Advance(&store, now);
    }
    // Deliver the writes that are still delayed.
    for (const auto& w : store.delayed_writes) store.Write(w.expected, w.value);
    for (const edit_driver& e : edits) {
      cr_assert_eq(e.step, edit_step::kDone);
      bool applied = WasApplied(store, e.operation.request.id);
      switch (e.operation.verdict) {
        case edit_verdict::kAccepted:
          ++accepted;
          cr_assert(applied, "seed %lu: accepted, but never stored", seed);
          break;
        case edit_verdict::kUnknown:
          ++unknown;
          break;
        default:
          ++refused;
          cr_assert(!applied, "seed %lu: '%s', but stored", seed,
                    std::string(NameOf(kEditVerdictNames, e.operation.verdict))
                        .c_str());
      }
    }
    int64_t last = 0;
    for (const std::string& v : store.history) {
      int64_t revision = ParseConfig(v)->revision;
      cr_assert_eq(revision, last + 1, "revisions must increase by one");
      last = revision;
    }
  }
  // All three kinds of verdict must have been exercised.
  cr_assert_gt(accepted, 100);
  cr_assert_gt(refused, 100);
  cr_assert_gt(unknown, 5);
}

Test(edit, apply_with_an_outdated_base_reports_a_conflict) {
  fake_store store = StoreWithConfig(1);
  store.fault_rate = 0;
  edit_driver out{.operation = {.request = PlaceEdit("o", edit_kind::kOut),
                                .deadline = 10}};
  while (out.step != edit_step::kDone) out.Advance(&store, 0);
  cr_assert_eq(out.operation.verdict, edit_verdict::kAccepted);
  edit_driver apply{.operation = {.request = {.id = "a",
                                              .author = "t",
                                              .kind = edit_kind::kApply,
                                              .text = kText,
                                              .base_revision = 1},
                                  .deadline = 10}};
  while (apply.step != edit_step::kDone) apply.Advance(&store, 0);
  cr_assert_eq(apply.operation.verdict, edit_verdict::kConflict);
  cr_assert_eq(apply.operation.current.recent_edits.back().id, "o");
}

Test(edit, unknown_places_are_refused_and_repeated_edits_change_nothing) {
  fake_store store = StoreWithConfig(1);
  store.fault_rate = 0;
  edit_request request = PlaceEdit("x", edit_kind::kOut);
  request.target.name = "nowhere";
  edit_driver e{.operation = {.request = request, .deadline = 10}};
  while (e.step != edit_step::kDone) e.Advance(&store, 0);
  cr_assert_eq(e.operation.verdict, edit_verdict::kRefused);
  edit_driver in{
      .operation = {.request = PlaceEdit("i", edit_kind::kIn), .deadline = 10}};
  while (in.step != edit_step::kDone) in.Advance(&store, 0);
  cr_assert_eq(in.operation.verdict, edit_verdict::kUnchanged);
}

Test(claim, at_most_one_of_many_hosts_runs_a_key) {
  int total_claimed = 0, refused = 0;
  for (uint64_t seed = 1; seed <= 600; ++seed) {
    fake_store store{.random = std::mt19937_64(seed)};
    if (seed % 3 == 0) store.fault_rate = 0.95;
    std::vector<claim_operation> operations(4);
    std::vector<claim_step> steps(4, claim_step::kCreate);
    int claimed = 0;
    for (size_t i = 0; i < operations.size(); ++i) {
      operations[i].own_record.token = "token-" + std::to_string(i);
      operations[i].deadline = 30;
    }
    for (micros now = 0; now < 300; ++now) {
      size_t i = store.random() % operations.size();
      if (steps[i] == claim_step::kDone) continue;
      if (steps[i] == claim_step::kCreate) {
        store_result r = store.Swap(operations[i].store_revision,
                                    DumpClaim(operations[i].own_record));
        steps[i] = OnClaimCreate(&operations[i], r, now);
      } else {
        steps[i] = OnClaimRead(&operations[i], store.Read(), now);
      }
      if (steps[i] != claim_step::kDone) continue;
      if (operations[i].verdict == claim_verdict::kRun) ++claimed;
      if (operations[i].verdict == claim_verdict::kNotRun) ++refused;
    }
    cr_assert_leq(claimed, 1, "seed %lu ran %d times", seed, claimed);
    total_claimed += claimed;
  }
  cr_assert_gt(total_claimed, 300);
  cr_assert_gt(refused, 0);
}

// Guards against odd values in the store: each field of another type, a
// fraction or out of range.
Test(config, stored_values_with_an_odd_field_are_rejected) {
  config c{.revision = 3, .text = "t"};
  c.out_of_service.push_back({place_kind::kServer, "b"});
  c.recent_edits.push_back({.revision = 3, .id = "e", .author = "a"});
  const std::string good = DumpConfig(c);
  cr_assert(ParseConfig(good).ok());
  const std::vector<typed_field> fields = {
      {"/revision", field_type::kInteger},
      {"/text", field_type::kString},
      {"/out", field_type::kArray},
      {"/out/0/kind", field_type::kString},
      {"/out/0/name", field_type::kString},
      {"/recent", field_type::kArray},
      {"/recent/0/revision", field_type::kInteger},
      {"/recent/0/id", field_type::kString},
      {"/recent/0/by", field_type::kString},
      {"/recent/0/kind", field_type::kString},
      {"/recent/0/detail", field_type::kString},
      {"/recent/0/at_ms", field_type::kInteger},
  };
  auto accepts = [](const std::string& text) { return ParseConfig(text).ok(); };
  cr_expect_eq(AcceptedOdd(good, fields, accepts), "");
  const std::string claim = DumpClaim({.token = "t", .host = "h"});
  cr_assert(ParseClaim(claim).ok());
  const std::vector<typed_field> claim_fields = {
      {"/state", field_type::kString},
      {"/token", field_type::kString},
      {"/host", field_type::kString},
      {"/until_ms", field_type::kInteger},
      {"/answer", field_type::kString}};
  auto accepts_claim = [](const std::string& text) {
    return ParseClaim(text).ok();
  };
  cr_expect_eq(AcceptedOdd(claim, claim_fields, accepts_claim), "");
}

Test(claim, released_claim_can_be_claimed_again) {
  fake_store store{.random = std::mt19937_64(1), .fault_rate = 0};
  claim_record released{.state = claim_state::kReleased, .token = "old"};
  store.Write(0, DumpClaim(released));
  claim_operation operation{.own_record = {.token = "new"}, .deadline = 10};
  claim_step step = StartClaim(&operation);
  for (int i = 0; i < 5 && step != claim_step::kDone; ++i) {
    step = step == claim_step::kCreate
               ? OnClaimCreate(&operation,
                               store.Swap(operation.store_revision,
                                          DumpClaim(operation.own_record)),
                               0)
               : OnClaimRead(&operation, store.Read(), 0);
  }
  cr_assert_eq(operation.verdict, claim_verdict::kRun);
}

Test(delta, reconstructs_every_text_and_rejects_a_wrong_base) {
  std::mt19937_64 random(3);
  std::string base = "line one\nline two\nline three\n";
  for (int i = 0; i < 2000; ++i) {
    std::string next = base;
    size_t at = random() % (next.size() + 1);
    next.erase(at, random() % 5);
    next.insert(std::min(at, next.size()),
                std::string(random() % 7, 'a' + i % 26));
    text_delta d = DiffTexts(base, next);
    cr_assert_eq(*ApplyDelta(base, d), next);
    if (next != base) cr_assert(!ApplyDelta(next, d).has_value());
    if (next.size() > 10 && next.size() < 500) base = next;
  }
  text_delta corrupt = DiffTexts("abc", "abd");
  corrupt.prefix_bytes = 1000;
  cr_assert(!ApplyDelta("abc", corrupt).has_value());
}
