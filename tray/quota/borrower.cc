// Waiting requests and the order of questions.

#include "tray/quota/borrower.h"

#include <algorithm>
#include <utility>

namespace baobabtray {
namespace {

// Customers whose accounts are kept. Beyond it idle ones are dropped.
constexpr size_t kMaxAccounts = 2'000;
// Returned credits by tick that wait for a question to the lender.
constexpr size_t kMaxReturnedTicks = 100;

borrower_account& AccountOf(quota_borrower* b, const std::string& customer) {
  auto found = b->accounts.find(customer);
  if (found != b->accounts.end()) return found->second;
  if (b->accounts.size() >= kMaxAccounts) {
    std::erase_if(b->accounts, [](const auto& entry) {
      return entry.second.question == 0 && entry.second.fallback_used.empty();
    });
  }
  borrower_account& account = b->accounts[customer];
  for (int i = 0; i < kQuotaLenders; ++i) account.order[i] = i;
  std::stable_partition(
      account.order.begin(), account.order.end(), [&](int part) {
        return QuotaRegion(customer, part, b->regions) == b->region;
      });
  return account;
}

bool CanAsk(const borrower_account::lender& lender, micros now) {
  return now >= lender.empty_until && now >= lender.avoid_until;
}

micros AvoidTime(int failures) {
  constexpr int kMaxDoublings = 4;
  return std::min(kMaxAvoidLender,
                  kMinAvoidLender << std::min(failures, kMaxDoublings));
}

std::optional<int> NextPart(const borrower_account& account, micros now) {
  for (int part : account.order) {
    if (CanAsk(account.lenders[part], now)) return part;
  }
  return std::nullopt;
}

void Ask(quota_borrower* b, const std::string& customer,
         borrower_account* account, int part, micros now,
         quota_actions* actions) {
  account->question = ++b->last_question;
  account->part = part;
  account->wanted = static_cast<int>(account->waiting.size());
  account->asked_at = now;
  b->asked[account->question] = customer;
  actions->questions.push_back(
      {.number = account->question,
       .customer = customer,
       .part = part,
       .wanted = account->wanted,
       .returned = std::exchange(account->lenders[part].returned, {})});
}

// Decides about a request for which no lender is left to ask.
quota_resolution ResolveWithoutLender(const quota_borrower& b,
                                      borrower_account* account, uint64_t id,
                                      micros now) {
  quota_resolution out{.id = id, .result = quota_result::kOverQuota};
  micros room_at = 0;
  bool unreachable = false;
  for (const auto& lender : account->lenders) {
    micros at = std::max(lender.empty_until, lender.avoid_until);
    room_at = room_at == 0 ? at : std::min(room_at, at);
    unreachable |= now < lender.avoid_until;
  }
  out.room_in = std::max<micros>(room_at - now, 0);
  if (!unreachable) return out;
  auto& used = account->fallback_used;
  while (!used.empty() && used.front() < now - b.bounds.window) {
    used.pop_front();
  }
  if (static_cast<int>(used.size()) < account->fallback) {
    used.push_back(now);
    out.result = quota_result::kFallback;
    return out;
  }
  bool any_empty =
      std::any_of(account->lenders.begin(), account->lenders.end(),
                  [&](const auto& lender) { return now < lender.empty_until; });
  if (!any_empty) out.result = quota_result::kUnreachable;
  return out;
}

}  // namespace

quota_result AdmitOnCredit(quota_borrower* b, const std::string& customer,
                           uint64_t id, micros now,
                           quota_resolution* resolution,
                           quota_actions* actions) {
  borrower_account& account = AccountOf(b, customer);
  std::optional<int> part = NextPart(account, now);
  bool may_wait = account.waiting.size() < kMaxWaitingForCredit &&
                  (account.question != 0 || part.has_value());
  if (!may_wait) {
    *resolution = ResolveWithoutLender(*b, &account, id, now);
    return resolution->result;
  }
  account.waiting.push_back(id);
  if (account.question == 0) Ask(b, customer, &account, *part, now, actions);
  return quota_result::kWaiting;
}

void OnQuotaAnswer(quota_borrower* b, uint64_t question,
                   const lender_reply& reply, micros now,
                   quota_actions* actions) {
  auto asked = b->asked.find(question);
  if (asked == b->asked.end()) return;
  std::string customer = std::move(asked->second);
  b->asked.erase(asked);
  borrower_account& account = b->accounts[customer];
  account.question = 0;
  borrower_account::lender& lender = account.lenders[account.part];
  if (!reply.answer.has_value() || !reply.answer->lends) {
    lender.avoid_until = now + AvoidTime(lender.failures++);
    account.fallback = reply.fallback;
  } else {
    lender.failures = 0;
    const quota_answer& answer = *reply.answer;
    bool expired = now - account.asked_at > kMaxCreditAge;
    int granted = expired ? 0 : std::min(answer.granted, account.wanted);
    quota_credit credit{.part = account.part, .tick = answer.tick};
    for (; granted > 0 && !account.waiting.empty(); --granted) {
      actions->resolved.push_back({.id = account.waiting.front(),
                                   .result = quota_result::kAdmitted,
                                   .credit = credit});
      account.waiting.pop_front();
    }
    for (; granted > 0; --granted) ReturnCredit(b, customer, credit);
    if (answer.granted < account.wanted && answer.room_in > 0) {
      lender.empty_until = now + answer.room_in;
    }
  }
  if (account.waiting.empty()) return;
  if (std::optional<int> part = NextPart(account, now)) {
    return Ask(b, customer, &account, *part, now, actions);
  }
  for (uint64_t id : std::exchange(account.waiting, {})) {
    actions->resolved.push_back(ResolveWithoutLender(*b, &account, id, now));
  }
}

void ReturnCredit(quota_borrower* b, const std::string& customer,
                  const quota_credit& credit) {
  auto found = b->accounts.find(customer);
  if (found == b->accounts.end()) return;
  returned_credits& returned = found->second.lenders[credit.part].returned;
  ++returned[credit.tick];
  if (returned.size() > kMaxReturnedTicks) returned.erase(returned.begin());
}

void AbandonWait(quota_borrower* b, const std::string& customer, uint64_t id) {
  auto found = b->accounts.find(customer);
  if (found == b->accounts.end()) return;
  std::erase(found->second.waiting, id);
}

}  // namespace baobabtray
