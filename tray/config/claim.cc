// Claims on caller-given keys. See claim.h.

#include "tray/config/claim.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

using nlohmann::json;

claim_step End(claim_run* run, claim_verdict verdict) {
  run->verdict = verdict;
  return claim_step::kDone;
}

}  // namespace

std::string DumpClaim(const claim_record& c) {
  return json{{"state", NameOf(kClaimStateNames, c.state)},
              {"token", c.token},
              {"host", c.host},
              {"until_ms", c.until_ms},
              {"answer", c.answer}}
      .dump();
}

absl::StatusOr<claim_record> ParseClaim(std::string_view value) {
  json j = json::parse(value, nullptr, false);
  claim_record c;
  try {
    auto state = ValueOf(kClaimStateNames, j.at("state").get<std::string>());
    if (!state) return absl::DataLossError("unknown state of a claim");
    c.state = *state;
    j.at("token").get_to(c.token);
    j.at("host").get_to(c.host);
    j.at("until_ms").get_to(c.until_ms);
    j.at("answer").get_to(c.answer);
  } catch (const json::exception&) {
    return absl::DataLossError("the value is not a claim");
  }
  return c;
}

std::string ClaimKey(std::string_view service, std::string_view key) {
  return fmt::format("baobabtray.claim.{}.{}", service, FingerprintOf(key));
}

claim_step StartClaim(claim_run*) { return claim_step::kCreate; }

claim_step OnClaimCreate(claim_run* run, const store_result& result,
                         micros now) {
  switch (result.fault) {
    case store_fault::kNone:
      run->store_revision = result.revision;
      return End(run, claim_verdict::kRun);
    case store_fault::kNotSent:
      if (now >= run->deadline) return End(run, claim_verdict::kNotRun);
      return claim_step::kCreate;
    case store_fault::kLost:
      run->maybe_ours = true;
      [[fallthrough]];
    case store_fault::kConflict:
    case store_fault::kAbsent:
      break;
  }
  if (now >= run->deadline) return End(run, claim_verdict::kNotRun);
  return claim_step::kRead;
}

claim_step OnClaimRead(claim_run* run, const store_result& result, micros now) {
  if (result.fault == store_fault::kAbsent) {
    run->store_revision = 0;
    if (now >= run->deadline) return End(run, claim_verdict::kNotRun);
    return claim_step::kCreate;
  }
  if (result.fault != store_fault::kNone) {
    if (now >= run->deadline) return End(run, claim_verdict::kNotRun);
    return claim_step::kRead;
  }
  absl::StatusOr<claim_record> found = ParseClaim(result.value);
  if (!found.ok()) return End(run, claim_verdict::kNotRun);
  bool moved = result.revision != run->store_revision;
  run->store_revision = result.revision;
  if (found->token == run->ours.token) {
    // After the deadline nothing is sent, so the claim has to be released.
    run->maybe_ours = true;
    return End(run, now >= run->deadline ? claim_verdict::kNotRun
                                         : claim_verdict::kRun);
  }
  // Once the key has moved past what our write expected it can't succeed.
  if (moved) run->maybe_ours = false;
  if (found->state == claim_state::kReleased && now < run->deadline) {
    return claim_step::kCreate;
  }
  run->record = *std::move(found);
  return End(run, claim_verdict::kDuplicate);
}

}  // namespace baobabtray
