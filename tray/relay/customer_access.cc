// Implementation of access by customers' keys. See customer_access.h.

#include "tray/relay/customer_access.h"

namespace baobabtray {

access_decision CheckAccess(const access_request& request) {
  if (!request.table.has_customers || request.route.needs_no_key) return {};
  // A key that is unknown here may have been added since, so age goes first.
  if (request.age > request.max_age)
    return {.result = access_result::kStaleKeys};
  const customer_config* customer = FindCustomer(request.table, request.key);
  if (customer == nullptr) return {.result = access_result::kUnknownKey};
  return {.customer = customer};
}

}  // namespace baobabtray
