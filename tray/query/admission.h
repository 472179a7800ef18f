// Admission control for queries.
//
// A query that cannot be answered by its deadline is refused before any attempt
// is sent, so that the refusal can truthfully say "not run" and the backend
// servers do no wasted work. The checks, cheapest first:
//
//   - The host is not draining and has fewer than max_active_queries.
//   - While more than half of max_active_queries are in use, the customer is
//     below its weighted quota.
//   - For every shard, the expected wait plus a typical reply time fits into
//     the time left until the deadline.
//
// A query without a known index version is ended as kNotRun by StartQuery.
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
  kHostFull,      // the host has max_active_queries
  kCustomerFull,  // the host is over half full and the customer uses its quota
  kTooLate,       // the expected answer time is beyond the deadline
  kDraining,      // the host is shutting down
};
constexpr name_table<admission, 5> kAdmissionNames = {{
    {admission::kAccepted, "accepted"},
    {admission::kHostFull, "host_full"},
    {admission::kCustomerFull, "customer_full"},
    {admission::kTooLate, "too_late"},
    {admission::kDraining, "draining"},
}};

// Active queries of one host.
struct admission_state {
  int max_active_queries = 4096;
  int active_queries = 0;
  std::unordered_map<int, int> queries_by_customer;
  bool draining = false;
};

// Decides on a query to `service` whose deadline is `time_left` from now.
admission Admit(const routing_state& r, const admission_state& state,
                int service, priority level, micros time_left, micros now);

void AddActiveQuery(admission_state* state, int customer);
void RemoveActiveQuery(admission_state* state, int customer);

// Expected time until a new request of priority `level` for the shard would be
// answered.
micros ExpectedShardTime(const routing_state& r, const shard_group& group,
                         priority level, micros now);

}  // namespace baobabtray

#endif  // TRAY_QUERY_ADMISSION_H_
