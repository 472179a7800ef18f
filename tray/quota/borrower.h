// Admits requests of customers with a limit, on credit of lenders. No I/O and
// no clock.
//
//   switch (AdmitOnCredit(&borrower, customer, id, now, &actions)) { ... }
//   // send actions.questions; for each one, once:
//   OnQuotaAnswer(&borrower, number, answer, now, &actions);
//   ReturnCredit(&borrower, customer, credit);  // the request has not run
//
// A request waits while its lenders are asked, one after the other, the one of
// its region first. Requests that arrive meanwhile wait for one further
// question. A lender that had too little is not asked again before it has room;
// one that does not lend, or that did not answer, is avoided for a time. If
// none is left a request is refused at once, or admitted as one of this host's
// few fallback requests if a lender could not be reached. The sender of
// questions limits the time for an answer to kLenderAnswerLimit, so a request
// waits at most (kQuotaLenders + 1) times that.

#ifndef TRAY_QUOTA_BORROWER_H_
#define TRAY_QUOTA_BORROWER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tray/base/enum_names.h"
#include "tray/base/time.h"
#include "tray/quota/quota.h"

namespace baobabtray {

// Covers three round trips between regions, and a busy lender.
constexpr micros kLenderAnswerLimit = 100 * kMillisecond;
// A lender that failed is avoided for kMinAvoidLender, doubled with each
// failure in a row.
constexpr micros kMinAvoidLender = 200 * kMillisecond;
constexpr micros kMaxAvoidLender = 3 * kSecond;
// Further requests of a customer are refused. Bounds memory.
constexpr size_t kMaxWaitingForCredit = 500;

enum class quota_result {
  kAdmitted,     // on a lender's credit
  kFallback,     // admitted without one
  kOverQuota,    // refused: the lenders had none left
  kUnreachable,  // refused: no lender answered
  kWaiting,      // to be resolved by OnQuotaAnswer
};
constexpr name_table<quota_result, 5> kQuotaResultNames = {{
    {quota_result::kAdmitted, "admitted"},
    {quota_result::kFallback, "fallback"},
    {quota_result::kOverQuota, "over_quota"},
    {quota_result::kUnreachable, "no_lender"},
    {quota_result::kWaiting, "waiting"},
}};

struct quota_credit {
  int part = 0;
  int64_t tick = 0;
};

struct quota_resolution {
  uint64_t id = 0;  // of the request
  quota_result result = quota_result::kWaiting;
  std::optional<quota_credit> credit;  // if kAdmitted
  micros room_in = 0;                  // if refused
};

struct lender_question {
  uint64_t number = 0;  // for the answer
  std::string customer;
  int part = 0;
  int wanted = 0;
  returned_credits returned;
};

struct quota_actions {
  std::vector<quota_resolution> resolved;
  std::vector<lender_question> questions;
};

// What came of a question.
struct lender_reply {
  std::optional<quota_answer> answer;  // nullopt: none in time
  int fallback = 0;                    // see FallbackOf; if not `lends`
};

// A customer at this host.
struct borrower_account {
  struct lender {
    micros empty_until = 0;
    micros avoid_until = 0;
    int failures = 0;           // in a row
    returned_credits returned;  // not yet sent
  };
  std::array<lender, kQuotaLenders> lenders;  // by part
  std::array<int, kQuotaLenders> order{};     // in which they are asked
  std::deque<uint64_t> waiting;               // ids, in order of arrival
  // The question under way, and how many of `waiting` it is for; 0: none.
  uint64_t question = 0;
  int part = 0;
  int wanted = 0;
  micros asked_at = 0;
  int fallback = 0;                  // as of the latest reply
  std::deque<micros> fallback_used;  // times, within the last window
};

struct quota_borrower {
  quota_bounds bounds;
  int region = 0;  // of this host, among `regions`
  int regions = 1;
  uint64_t last_question = 0;
  std::map<std::string, borrower_account> accounts;  // by customer
  std::map<uint64_t, std::string> asked;  // customers of open questions
};

// Decides about request `id`. Unless the result is kWaiting, `resolution` holds
// the details.
quota_result AdmitOnCredit(quota_borrower* borrower,
                           const std::string& customer, uint64_t id, micros now,
                           quota_resolution* resolution,
                           quota_actions* actions);
void OnQuotaAnswer(quota_borrower* borrower, uint64_t question,
                   const lender_reply& reply, micros now,
                   quota_actions* actions);
// The request of this credit has not run and will not.
void ReturnCredit(quota_borrower* borrower, const std::string& customer,
                  const quota_credit& credit);
// The caller of a waiting request has left.
void AbandonWait(quota_borrower* borrower, const std::string& customer,
                 uint64_t id);

}  // namespace baobabtray

#endif  // TRAY_QUOTA_BORROWER_H_
