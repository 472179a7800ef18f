// Limits on the requests of a customer, summed over all hosts: how a limit is
// divided, and which hosts lend its parts.
//
//   quota_part part = PartOf({.rate = 20, .burst = 20}, bounds, 0);
//   SetQuotaCustomers(&owners, names);
//   UpsertQuotaHost(&owners, "h1", region);
//   const std::string& lender = QuotaLender(owners, "customer", 0);
//
// The bound: in any time bounds.window at most
//
//   (rate * window + burst) * (1 + overage) + slack
//
// requests of a customer are admitted. A limit is divided into kQuotaLenders
// equal parts. Each has one lender (lender.h), which other hosts ask for credit
// for requests that wait at them (borrower.h). A credit is used within
// kMaxCreditAge after it was asked for, or is lost. What a lender's part and
// the fallback requests of hosts that reach no lender add up to stays in the
// bound, which docs/design/quotas.md proves.
//
// The lender of a part is the host with the highest rendezvous score among the
// live hosts of the part's region, or among all if that has none. The parts of
// a customer start at different regions, so that a caller's question seldom
// leaves its region and the loss of a region leaves two of three parts.
//
// Cost: three hashes per customer when a host joins; a rescan of all hosts for
// the parts of a host that leaves.

#ifndef TRAY_QUOTA_QUOTA_H_
#define TRAY_QUOTA_QUOTA_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "tray/base/time.h"

namespace baobabtray {

constexpr int kQuotaLenders = 3;  // of one customer
// From the question to the credit's use. The lender's window covers it.
constexpr micros kMaxCreditAge = 250 * kMillisecond;
// A joining host lends this long after its entry in the store was made, and a
// host whose view of the membership is older does not lend. It outlasts an
// outage of the store of several seconds.
constexpr micros kMaxLenderViewAge = 10 * kSecond;
// Of a part whose former lender may have lent all of it just now.
constexpr double kFirstTokens = 1;

// Of a deployment.
struct quota_bounds {
  micros window = 0;  // 0: limits are not enforced
  double overage = 0;
  double slack = 0;  // requests
};

// Of a customer.
struct quota_limit {
  double rate = 0;   // requests/s; positive
  double burst = 0;  // requests
  bool operator==(const quota_limit&) const = default;
};

// Of one lender. Invariant, from a slack of some requests on:
//   capacity + rate * (window + kMaxCreditAge) + kFirstTokens <= max_in_window
// so that a lender and its successor, which starts with kFirstTokens, together
// grant no more than one of them may.
struct quota_part {
  double rate = 0;        // requests/s
  double capacity = 0;    // of its token bucket
  int max_in_window = 0;  // grants in any window + kMaxCreditAge
};
// Invariant: max_in_window of all parts and FallbackTotal are within the bound.
quota_part PartOf(const quota_limit& limit, const quota_bounds& bounds,
                  int part);
// Requests of all hosts together that reach no lender, in any window.
int FallbackTotal(const quota_limit& limit, const quota_bounds& bounds);

// Fallback requests that one host may admit in a window, if it ranks `rank`
// (from 0) of `hosts` for the customer. The sum over distinct ranks is `total`.
int FallbackOf(int total, int rank, int hosts);

// The region, of `regions`, at which part `part` of a customer starts.
int QuotaRegion(std::string_view customer, int part, int regions);

// Who lends, as one host sees it.
struct quota_owners {
  struct host {
    uint64_t hash = 0;
    int region = 0;
  };
  struct owner {
    std::string name;  // empty: none
    bool in_region = false;
    uint64_t score = 0;
  };
  int regions = 1;
  std::map<std::string, host> hosts;  // live
  std::map<std::string, std::array<owner, kQuotaLenders>> customers;
};

void UpsertQuotaHost(quota_owners* owners, const std::string& name, int region);
void RemoveQuotaHost(quota_owners* owners, const std::string& name);
void SetQuotaCustomers(quota_owners* owners,
                       const std::vector<std::string>& customers);
// Name of the lender, or "" for an unknown customer or without hosts.
std::string_view QuotaLender(const quota_owners& owners,
                             const std::string& customer, int part);
// Rank of live host `name` for the fallback requests of a customer.
int FallbackRank(const quota_owners& owners, const std::string& customer,
                 const std::string& name);

// ---- Messages ---------------------------------------------------------------

// Credits of requests that have not run, by the tick of their grant.
using returned_credits = std::map<int64_t, int>;

struct quota_question {
  std::string host;       // that asks
  uint64_t instance = 0;  // of its process
  // Increases with each question of the instance. A lender ignores what a
  // question returns if it has seen a later one.
  uint64_t sequence = 0;
  std::string customer;
  int part = 0;
  int wanted = 0;
  returned_credits returned;
};

struct quota_answer {
  bool lends = false;  // false: not the lender, or not yet or no longer
  int granted = 0;
  int64_t tick = 0;    // of the grant
  micros room_in = 0;  // if less was granted than wanted: until there is more
};

}  // namespace baobabtray

#endif  // TRAY_QUOTA_QUOTA_H_
