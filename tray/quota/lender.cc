// Accounts of a lender.

#include "tray/quota/lender.h"

#include <algorithm>

namespace baobabtray {
namespace {

constexpr micros kMinRoomIn = 50 * kMillisecond;
// Hosts whose latest question is remembered. Beyond it all are forgotten, after
// which a repeated question could return credit twice.
constexpr size_t kMaxKnownHosts = 10'000;

micros Window(const quota_lender& lender) {
  return lender.bounds.window + kMaxCreditAge;
}

void Accrue(loan_account* account, micros window, micros now) {
  double elapsed_s =
      static_cast<double>(std::max<micros>(now - account->tokens_at, 0)) /
      kSecond;
  account->tokens = std::min(account->part.capacity,
                             account->tokens + elapsed_s * account->part.rate);
  account->tokens_at = std::max(account->tokens_at, now);
  // A tick counts until its end has left the window.
  auto oldest = account->granted.begin();
  while (oldest != account->granted.end() &&
         (oldest->first + 1) * kGrantTick < now - window) {
    account->in_window -= oldest->second;
    oldest = account->granted.erase(oldest);
  }
}

void TakeBack(loan_account* account, const returned_credits& returned) {
  for (const auto& [tick, count] : returned) {
    auto granted = account->granted.find(tick);
    if (granted == account->granted.end()) continue;
    int taken = std::clamp(count, 0, granted->second);
    granted->second -= taken;
    account->in_window -= taken;
    account->tokens = std::min(account->part.capacity, account->tokens + taken);
  }
}

// Remembers the question. Returns whether it is the latest of its host.
bool IsLatest(quota_lender* lender, const quota_question& question) {
  if (lender->latest.size() >= kMaxKnownHosts) lender->latest.clear();
  auto& [instance, sequence] = lender->latest[question.host];
  if (instance == question.instance && question.sequence <= sequence) {
    return false;
  }
  instance = question.instance;
  sequence = question.sequence;
  return true;
}

// Until a request can be granted again.
micros RoomIn(const loan_account& account, micros window, micros now) {
  micros room = 0;
  if (account.tokens < 1) {
    double seconds = (1 - account.tokens) / account.part.rate;
    room = static_cast<micros>(
        std::min(seconds * kSecond, static_cast<double>(window)));
  }
  if (account.in_window >= account.part.max_in_window &&
      !account.granted.empty()) {
    micros leaves = (account.granted.begin()->first + 1) * kGrantTick + window;
    room = std::max(room, leaves - now);
  }
  return std::clamp(room, kMinRoomIn, window);
}

}  // namespace

bool MayLend(const lender_standing& standing, micros now) {
  return standing.settled_at != 0 && now >= standing.settled_at &&
         now < standing.entry_valid_until &&
         now - standing.view_as_of < kMaxLenderViewAge;
}

void OpenLoans(quota_lender* lender,
               const std::map<std::string, quota_limit>& limits,
               const quota_owners& owners, const std::string& own, bool full,
               micros now) {
  decltype(lender->accounts) next;
  for (const auto& [customer, limit] : limits) {
    for (int part = 0; part < kQuotaLenders; ++part) {
      if (QuotaLender(owners, customer, part) != own) continue;
      std::pair<std::string, int> key = {customer, part};
      auto known = lender->accounts.find(key);
      loan_account account;
      if (known != lender->accounts.end()) {
        account = std::move(known->second);
        Accrue(&account, Window(*lender), now);
      } else {
        account.tokens_at = now;
      }
      account.part = PartOf(limit, lender->bounds, part);
      if (full && account.granted.empty()) {
        account.tokens = account.part.capacity;
      }
      account.tokens = std::min(account.tokens, account.part.capacity);
      next.emplace(std::move(key), std::move(account));
    }
  }
  lender->accounts = std::move(next);
}

quota_answer AnswerQuestion(quota_lender* lender,
                            const quota_question& question, micros now) {
  bool latest = IsLatest(lender, question);
  auto found = lender->accounts.find({question.customer, question.part});
  if (found == lender->accounts.end()) return {};
  loan_account& account = found->second;
  micros window = Window(*lender);
  Accrue(&account, window, now);
  if (latest) TakeBack(&account, question.returned);
  quota_answer answer{.lends = true, .tick = now / kGrantTick};
  int room = std::min(static_cast<int>(account.tokens),
                      account.part.max_in_window - account.in_window);
  answer.granted = std::clamp(room, 0, std::max(question.wanted, 0));
  if (answer.granted > 0) {
    account.tokens -= answer.granted;
    account.granted[answer.tick] += answer.granted;
    account.in_window += answer.granted;
  }
  if (answer.granted < question.wanted) {
    answer.room_in = RoomIn(account, window, now);
  }
  return answer;
}

}  // namespace baobabtray
