// Claims over the store. See claims.h.

#include "tray/daemon/claims.h"

#include <fmt/format.h>

#include <asio.hpp>
#include <chrono>

#include "tray/base/log.h"
#include "tray/wire/caller_api.h"

namespace baobabtray {
namespace {

constexpr micros kClaimBackoff = 20 * kMillisecond;
constexpr micros kMaxClaimBackoff = 1 * kSecond;
// Background writes are given up after this many tries; duplicates then hear
// "unknown", which stays true.
constexpr int kMaxSettleTries = 60;

}  // namespace

struct claim_runner::claiming {
  std::string key;
  claim_run run;
  int tries = 0;
  std::function<void(claimed_key)> done;
};

struct claim_runner::settling {
  std::string key;
  uint64_t store_revision = 0;
  claim_record record;
  int tries = 0;
};

claim_runner::claim_runner(fetcher* http, engine* shared,
                           asio::io_context* loop)
    : http_(*http),
      shared_(*shared),
      store_(&http_, shared->own.store, &shared->counters),
      loop_(*loop),
      random_(std::random_device{}()) {}

void claim_runner::After(micros delay, std::function<void()> then) {
  auto timer = std::make_shared<asio::steady_timer>(
      loop_, std::chrono::microseconds(delay));
  timer->async_wait(
      [timer, then = std::move(then)](std::error_code) { then(); });
}

void claim_runner::Claim(const std::string& key, micros deadline,
                         std::function<void(claimed_key)> done) {
  auto c = std::make_shared<claiming>();
  c->key = key;
  c->done = std::move(done);
  c->run.deadline = deadline;
  c->run.ours = {
      .token = NewRequestId(&random_),
      .host = shared_.own.name,
      .until_ms = WallNowMs() + (deadline - SteadyNow()) / kMillisecond};
  Advance(c, StartClaim(&c->run));
}

void claim_runner::Advance(std::shared_ptr<claiming> c, claim_step step) {
  if (step == claim_step::kDone) {
    if (c->run.verdict == claim_verdict::kNotRun && c->run.maybe_ours) {
      Release(c);
    }
    c->done({.verdict = c->run.verdict,
             .key = c->key,
             .record = c->run.verdict == claim_verdict::kRun ? c->run.ours
                                                             : c->run.record,
             .store_revision = c->run.store_revision});
    return;
  }
  auto perform = [this, c, step] {
    if (step == claim_step::kCreate) {
      store_.CompareAndSwap(
          c->key, c->run.store_revision, DumpClaim(c->run.ours),
          [this, c](store_result result) {
            Advance(c, OnClaimCreate(&c->run, result, SteadyNow()));
          });
    } else {
      store_.Read(c->key, [this, c](store_result result) {
        Advance(c, OnClaimRead(&c->run, result, SteadyNow()));
      });
    }
  };
  // The first create and read go at once, later ones wait a little.
  if (++c->tries <= 2) return perform();
  micros left = c->run.deadline - SteadyNow();
  micros delay =
      std::min(kClaimBackoff << std::min(c->tries - 3, 4), kMaxClaimBackoff);
  After(std::max<micros>(0, std::min(delay, left)), perform);
}

// The claim may have been created although its request was refused: frees it.
void claim_runner::Release(const std::shared_ptr<claiming>& c) {
  auto s = std::make_shared<settling>();
  s->key = c->key;
  s->record = c->run.ours;
  s->record.state = claim_state::kReleased;
  ++shared_.background;
  CheckWritten(s);
}

void claim_runner::Settle(const claimed_key& claim, query_outcome outcome,
                          const std::string& answer) {
  auto s = std::make_shared<settling>();
  s->key = claim.key;
  s->store_revision = claim.store_revision;
  s->record = claim.record;
  switch (outcome) {
    case query_outcome::kNotRun:
      s->record.state = claim_state::kReleased;
      break;
    case query_outcome::kUnknown:
      s->record.state = claim_state::kHeld;
      s->record.until_ms = 0;  // no answer will follow
      break;
    case query_outcome::kComplete:
    case query_outcome::kPartial:
      s->record.state = claim_state::kDone;
      if (answer.size() <= kMaxKeptAnswer) s->record.answer = answer;
      break;
  }
  ++shared_.background;
  Write(s);
}

void claim_runner::Write(std::shared_ptr<settling> s) {
  store_.CompareAndSwap(s->key, s->store_revision, DumpClaim(s->record),
                        [this, s](store_result result) {
                          if (result.fault == store_fault::kNone) {
                            --shared_.background;
                            return;
                          }
                          micros delay =
                              std::min(kClaimBackoff << std::min(s->tries, 6),
                                       kMaxClaimBackoff);
                          After(delay, [this, s] { CheckWritten(s); });
                        });
}

// Reads the key before the next try: the write may be in, or the claim not
// ours.
void claim_runner::CheckWritten(std::shared_ptr<settling> s) {
  if (++s->tries > kMaxSettleTries) {
    Log(log_level::kWarning, "claim_not_settled", {{"key", s->key}});
    --shared_.background;
    return;
  }
  store_.Read(s->key, [this, s](store_result result) {
    if (result.fault == store_fault::kNone) {
      absl::StatusOr<claim_record> found = ParseClaim(result.value);
      bool ours = found.ok() && found->token == s->record.token;
      bool open = ours && found->state == claim_state::kHeld &&
                  found->until_ms != s->record.until_ms;
      open |= ours && found->state != s->record.state;
      if (!open) {
        --shared_.background;
        return;
      }
      s->store_revision = result.revision;
      Write(s);
      return;
    }
    // A write without a reply may still arrive, so an absent key proves
    // nothing.
    After(kMaxClaimBackoff, [this, s] { CheckWritten(s); });
  });
}

}  // namespace baobabtray
