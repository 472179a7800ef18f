// Whether to take a query at all.
//
// A query that can't be answered by its deadline is refused before any attempt,
// so the refusal "not run" is true and the backend servers do no wasted work.
// Three checks, cheapest first:
//
//   - the host's bound on queries in hand, of which a customer may use more
//   than
//     its weighted part only while half of it is free
//   - time: the longest expected wait of any shard plus a usual reply must fit
//     into what is left until the deadline
//   - an index version is known
//
// Cost: linear in the shards of the query.

#ifndef TRAY_QUERY_ADMISSION_H_
#define TRAY_QUERY_ADMISSION_H_

#include <unordered_map>

#include "tray/base/enum_names.h"
#include "tray/query/query.h"

namespace baobabtray {

enum class admission {
  kAccepted,
  kHostFull,      // the host has as many queries in hand as it takes
  kCustomerFull,  // this customer uses its part, and others need theirs
  kTooLate,       // the expected wait is beyond the deadline
  kDraining,      // the host is shutting down
};
constexpr name_table<admission, 5> kAdmissionNames = {{
    {admission::kAccepted, "accepted"},
    {admission::kHostFull, "host_full"},
    {admission::kCustomerFull, "customer_full"},
    {admission::kTooLate, "too_late"},
    {admission::kDraining, "draining"},
}};

// Queries in hand on one host, by customer.
struct admission_state {
  int max_active_queries = 4096;
  int active_queries = 0;
  std::unordered_map<int, int> by_customer;
  bool draining = false;
};

// Decides on a query of `customer` to `service`, whose deadline is `left` away.
admission Admit(const routing_state& r, const admission_state& state,
                int service, priority rank, micros left, micros now);

void AddActiveQuery(admission_state* state, int customer);
void RemoveActiveQuery(admission_state* state, int customer);

// Time until a new request of `rank` for the shard would be answered.
micros ExpectedShardTime(const routing_state& r, const shard_group& group,
                         priority rank, micros now);

}  // namespace baobabtray

#endif  // TRAY_QUERY_ADMISSION_H_
