// Tests of edits, claims and differences, over a store that loses replies.
//
// A fake store applies writes at once or later, loses replies, goes away, and
// serves lagging reads; its own record is the judge of every verdict.

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

using namespace baobabtray;  // NOLINT: test file

namespace {

constexpr char kText[] =
    "regions: [r]\n"
    "data_centres: [{name: d1, region: r}, {name: d2, region: r}]\n"
    "services:\n"
    "  - name: s\n    shards: 1\n    backend_servers:\n"
    "      - {name: b, data_centre: d1, address: '1.2.3.4:5'}\n";

// A store with one key that misbehaves by seeded choice.
struct fake_store {
  struct late_write {
    uint64_t expected;
    std::string value;
  };
  std::mt19937_64 random;
  double trouble = 0.3;
  uint64_t revision = 0;
  std::string value;
  std::vector<late_write> late;
  std::vector<std::string> history;  // every value that was ever in force

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
  // A delayed write may arrive at any time.
  void DeliverLate() {
    if (late.empty() || !Chance(0.4)) return;
    late_write w = late.back();
    late.pop_back();
    Write(w.expected, w.value);
  }
  store_result Read() {
    DeliverLate();
    if (Chance(trouble / 2)) return {.fault = store_fault::kNotSent};
    if (Chance(trouble / 2)) return {.fault = store_fault::kLost};
    if (revision == 0) return {.fault = store_fault::kAbsent};
    return {.revision = revision, .value = value};
  }
  store_result Swap(uint64_t expected, const std::string& next) {
    DeliverLate();
    if (Chance(trouble / 3)) return {.fault = store_fault::kNotSent};
    if (Chance(trouble / 2)) {
      if (Chance(0.3)) {
        late.push_back({expected, next});
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

// Whether the edit `id` was ever in force.
bool TookEffect(const fake_store& store, const std::string& id) {
  return std::any_of(store.history.begin(), store.history.end(),
                     [&](const std::string& v) {
                       return FindEdit(*ParseConfig(v), id) != nullptr;
                     });
}

edit OutEdit(const std::string& id, edit_kind kind) {
  return {.id = id,
          .by = "t",
          .kind = kind,
          .where = {place_kind::kDataCentre, "d1"}};
}

// Runs an edit over the store until its verdict, one step at a time.
struct running_edit {
  edit_run run;
  edit_step step = edit_step::kRead;
  void Advance(fake_store* store, micros now) {
    if (step == edit_step::kRead) {
      step = OnStoreRead(&run, store->Read(), now);
    } else if (step == edit_step::kSwap) {
      step =
          OnStoreSwap(&run, store->Swap(run.base_store, run.next_value), now);
    }
  }
};

fake_store StoreWithText(uint64_t seed) {
  fake_store store{.random = std::mt19937_64(seed)};
  config first{.revision = 1, .text = kText};
  store.Write(0, DumpConfig(first));
  return store;
}

}  // namespace

Test(edit, verdicts_are_true_over_a_faulty_store_with_racing_edits) {
  int accepted = 0, refused = 0, unknown = 0;
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    fake_store store = StoreWithText(seed);
    if (seed % 3 == 0) store.trouble = 0.9;
    std::vector<running_edit> edits(6);
    for (size_t i = 0; i < edits.size(); ++i) {
      edit_kind kind = i % 2 == 0 ? edit_kind::kOut : edit_kind::kIn;
      edits[i].run.wanted = OutEdit("e" + std::to_string(i), kind);
      edits[i].run.deadline = 30;
    }
    for (micros now = 0; now < 400; ++now) {
      edits[store.random() % edits.size()].Advance(&store, now);
    }
    // Whatever is still on its way arrives in the end.
    for (const auto& w : store.late) store.Write(w.expected, w.value);
    for (const running_edit& e : edits) {
      cr_assert_eq(e.step, edit_step::kDone);
      bool effect = TookEffect(store, e.run.wanted.id);
      switch (e.run.verdict) {
        case edit_verdict::kAccepted:
          ++accepted;
          cr_assert(effect, "seed %lu: accepted but lost", seed);
          break;
        case edit_verdict::kUnknown:
          ++unknown;
          break;
        default:
          ++refused;
          cr_assert(
              !effect, "seed %lu: '%s' but took effect", seed,
              std::string(NameOf(kEditVerdictNames, e.run.verdict)).c_str());
      }
    }
    int64_t last = 0;
    for (const std::string& v : store.history) {
      int64_t revision = ParseConfig(v)->revision;
      cr_assert_eq(revision, last + 1, "revisions go up by one");
      last = revision;
    }
  }
  // The trial reaches all three ends, else it proves nothing.
  cr_assert_gt(accepted, 100);
  cr_assert_gt(refused, 100);
  cr_assert_gt(unknown, 5);
}

Test(edit, apply_with_an_old_base_is_a_conflict_that_shows_both) {
  fake_store store = StoreWithText(1);
  store.trouble = 0;
  running_edit out{
      .run = {.wanted = OutEdit("o", edit_kind::kOut), .deadline = 10}};
  while (out.step != edit_step::kDone) out.Advance(&store, 0);
  cr_assert_eq(out.run.verdict, edit_verdict::kAccepted);
  running_edit apply{.run = {.wanted = {.id = "a",
                                        .by = "t",
                                        .kind = edit_kind::kApply,
                                        .text = kText,
                                        .base_revision = 1},
                             .deadline = 10}};
  while (apply.step != edit_step::kDone) apply.Advance(&store, 0);
  cr_assert_eq(apply.run.verdict, edit_verdict::kConflict);
  cr_assert_eq(apply.run.current.recent_edits.back().id, "o");
}

Test(edit, unknown_places_are_refused_and_repeated_ones_unchanged) {
  fake_store store = StoreWithText(1);
  store.trouble = 0;
  edit wanted = OutEdit("x", edit_kind::kOut);
  wanted.where.name = "nowhere";
  running_edit e{.run = {.wanted = wanted, .deadline = 10}};
  while (e.step != edit_step::kDone) e.Advance(&store, 0);
  cr_assert_eq(e.run.verdict, edit_verdict::kRefused);
  running_edit in{
      .run = {.wanted = OutEdit("i", edit_kind::kIn), .deadline = 10}};
  while (in.step != edit_step::kDone) in.Advance(&store, 0);
  cr_assert_eq(in.run.verdict, edit_verdict::kUnchanged);
}

Test(claim, at_most_one_of_many_hosts_runs_a_key) {
  int ran_once = 0, refused = 0;
  for (uint64_t seed = 1; seed <= 600; ++seed) {
    fake_store store{.random = std::mt19937_64(seed)};
    if (seed % 3 == 0) store.trouble = 0.95;
    std::vector<claim_run> runs(4);
    std::vector<claim_step> steps(4, claim_step::kCreate);
    int ran = 0;
    for (size_t i = 0; i < runs.size(); ++i) {
      runs[i].ours.token = "token-" + std::to_string(i);
      runs[i].deadline = 30;
    }
    for (micros now = 0; now < 300; ++now) {
      size_t i = store.random() % runs.size();
      if (steps[i] == claim_step::kDone) continue;
      if (steps[i] == claim_step::kCreate) {
        store_result r =
            store.Swap(runs[i].store_revision, DumpClaim(runs[i].ours));
        steps[i] = OnClaimCreate(&runs[i], r, now);
      } else {
        steps[i] = OnClaimRead(&runs[i], store.Read(), now);
      }
      if (steps[i] != claim_step::kDone) continue;
      if (runs[i].verdict == claim_verdict::kRun) ++ran;
      if (runs[i].verdict == claim_verdict::kNotRun) ++refused;
    }
    cr_assert_leq(ran, 1, "seed %lu ran %d times", seed, ran);
    ran_once += ran;
  }
  cr_assert_gt(ran_once, 300);
  cr_assert_gt(refused, 0);
}

Test(claim, released_claim_may_be_taken_again) {
  fake_store store{.random = std::mt19937_64(1), .trouble = 0};
  claim_record released{.state = claim_state::kReleased, .token = "old"};
  store.Write(0, DumpClaim(released));
  claim_run run{.ours = {.token = "new"}, .deadline = 10};
  claim_step step = StartClaim(&run);
  for (int i = 0; i < 5 && step != claim_step::kDone; ++i) {
    step =
        step == claim_step::kCreate
            ? OnClaimCreate(
                  &run, store.Swap(run.store_revision, DumpClaim(run.ours)), 0)
            : OnClaimRead(&run, store.Read(), 0);
  }
  cr_assert_eq(run.verdict, claim_verdict::kRun);
}

Test(delta, rebuilds_every_text_and_refuses_a_wrong_base) {
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
  text_delta lying = DiffTexts("abc", "abd");
  lying.prefix_bytes = 1000;
  cr_assert(!ApplyDelta("abc", lying).has_value());
}
