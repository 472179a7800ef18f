// Claim operations. See claims.h.

#include "tray/daemon/claims.h"

#include <fmt/format.h>

#include <asio.hpp>
#include <chrono>

#include "tray/base/log.h"
#include "tray/wire/caller_api.h"

namespace baobabtray {
namespace {

constexpr micros kMinClaimBackoff = 20 * kMillisecond;
constexpr micros kMaxClaimBackoff = 1 * kSecond;
// Background writes are abandoned after this many attempts. Duplicates then get
// the outcome "unknown", which remains correct.
constexpr int kMaxWriteAttempts = 60;

}  // namespace

struct claim_runner::pending_claim {
  std::string key;
  claim_operation operation;
  int attempts = 0;
  std::function<void(claim_result)> done;
};

struct claim_runner::pending_write {
  std::string key;
  uint64_t store_revision = 0;
  claim_record record;
  int attempts = 0;
};

claim_runner::claim_runner(fetcher* http, daemon_state* state,
                           asio::io_context* loop)
    : http_(*http),
      state_(*state),
      store_(&http_, state->local_settings.store, &state->counters),
      loop_(*loop),
      random_(std::random_device{}()) {}

void claim_runner::RunAfter(micros delay, std::function<void()> then) {
  auto timer = std::make_shared<asio::steady_timer>(
      loop_, std::chrono::microseconds(delay));
  timer->async_wait(
      [timer, then = std::move(then)](std::error_code) { then(); });
}

void claim_runner::Claim(const std::string& key, micros deadline,
                         std::function<void(claim_result)> done) {
  auto claim = std::make_shared<pending_claim>();
  claim->key = key;
  claim->done = std::move(done);
  claim->operation.deadline = deadline;
  claim->operation.own_record = {
      .token = NewRequestId(&random_),
      .host = state_.local_settings.name,
      .until_ms = WallNowMs() + (deadline - SteadyNow()) / kMillisecond};
  Advance(claim, StartClaim(&claim->operation));
}

void claim_runner::Advance(std::shared_ptr<pending_claim> claim,
                           claim_step step) {
  if (step == claim_step::kDone) {
    if (claim->operation.verdict == claim_verdict::kNotRun &&
        claim->operation.claim_unconfirmed) {
      Release(claim);
    }
    claim->done({.verdict = claim->operation.verdict,
                 .key = claim->key,
                 .record = claim->operation.verdict == claim_verdict::kRun
                               ? claim->operation.own_record
                               : claim->operation.existing_record,
                 .store_revision = claim->operation.store_revision});
    return;
  }
  auto perform = [this, claim, step] {
    if (step == claim_step::kCreate) {
      store_.CompareAndSwap(
          claim->key, claim->operation.store_revision,
          DumpClaim(claim->operation.own_record),
          [this, claim](store_result result) {
            Advance(claim,
                    OnClaimCreate(&claim->operation, result, SteadyNow()));
          });
    } else {
      store_.Read(claim->key, [this, claim](store_result result) {
        Advance(claim, OnClaimRead(&claim->operation, result, SteadyNow()));
      });
    }
  };
  // The first create and the first read are immediate; later calls back off.
  if (++claim->attempts <= 2) return perform();
  micros left = claim->operation.deadline - SteadyNow();
  micros delay = std::min(kMinClaimBackoff << std::min(claim->attempts - 3, 4),
                          kMaxClaimBackoff);
  RunAfter(std::max<micros>(0, std::min(delay, left)), perform);
}

// Releases a claim that may have been created although the request was refused.
void claim_runner::Release(const std::shared_ptr<pending_claim>& claim) {
  auto write = std::make_shared<pending_write>();
  write->key = claim->key;
  write->record = claim->operation.own_record;
  write->record.state = claim_state::kReleased;
  ++state_.pending_store_writes;
  VerifyWrite(write);
}

void claim_runner::RecordOutcome(const claim_result& claim,
                                 query_outcome outcome,
                                 const std::string& answer) {
  auto write = std::make_shared<pending_write>();
  write->key = claim.key;
  write->store_revision = claim.store_revision;
  write->record = claim.record;
  switch (outcome) {
    case query_outcome::kNotRun:
      write->record.state = claim_state::kReleased;
      break;
    case query_outcome::kUnknown:
      write->record.state = claim_state::kHeld;
      write->record.until_ms = 0;  // no answer will be recorded
      break;
    case query_outcome::kComplete:
    case query_outcome::kPartial:
      write->record.state = claim_state::kDone;
      if (answer.size() <= kMaxStoredAnswerBytes) write->record.answer = answer;
      break;
  }
  ++state_.pending_store_writes;
  WriteRecord(write);
}

void claim_runner::WriteRecord(std::shared_ptr<pending_write> write) {
  store_.CompareAndSwap(
      write->key, write->store_revision, DumpClaim(write->record),
      [this, write](store_result result) {
        if (result.fault == store_fault::kNone) {
          --state_.pending_store_writes;
          return;
        }
        micros delay = std::min(
            kMinClaimBackoff << std::min(write->attempts, 6), kMaxClaimBackoff);
        RunAfter(delay, [this, write] { VerifyWrite(write); });
      });
}

// Reads the key before the next attempt: the write may have taken effect, or
// the claim may belong to another host.
void claim_runner::VerifyWrite(std::shared_ptr<pending_write> write) {
  if (++write->attempts > kMaxWriteAttempts) {
    Log(log_level::kWarning, "claim_outcome_not_recorded",
        {{"key", write->key}});
    --state_.pending_store_writes;
    return;
  }
  store_.Read(write->key, [this, write](store_result result) {
    if (result.fault == store_fault::kNone) {
      absl::StatusOr<claim_record> found = ParseClaim(result.value);
      bool ours = found.ok() && found->token == write->record.token;
      bool needs_write = ours && found->state == claim_state::kHeld &&
                         found->until_ms != write->record.until_ms;
      needs_write |= ours && found->state != write->record.state;
      if (!needs_write) {
        --state_.pending_store_writes;
        return;
      }
      write->store_revision = result.revision;
      WriteRecord(write);
      return;
    }
    // A write whose reply was lost may still take effect, so an absent key
    // proves nothing.
    RunAfter(kMaxClaimBackoff, [this, write] { VerifyWrite(write); });
  });
}

}  // namespace baobabtray
