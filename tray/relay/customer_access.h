// Whether a request may run, by the customer's key that it carries. No clock
// and no I/O.
//
//   access_decision d = CheckAccess({.table = *table, .route = *route,
//                                    .key = request.key, .age = now - as_of,
//                                    .max_age = own.relay.max_key_age});
//   if (d.result != access_result::kGranted) ...  // answer without running it
//
// Knowledge of keys ages: a key may have been taken away since the host last
// heard from the store. Beyond `max_age` a host runs no request that needs a
// key, whatever it holds, so a key is refused by every host at the latest
// `max_age` after it was taken away. Routes that need no key are not affected.
// Cost: one hash lookup.

#ifndef TRAY_RELAY_CUSTOMER_ACCESS_H_
#define TRAY_RELAY_CUSTOMER_ACCESS_H_

#include <string_view>

#include "tray/base/enum_names.h"
#include "tray/base/time.h"
#include "tray/routes/routes.h"

namespace baobabtray {

enum class access_result {
  kGranted,
  kUnknownKey,  // no customer holds the key
  kStaleKeys,   // the host has not heard of the store's keys for too long
};
constexpr name_table<access_result, 3> kAccessResultNames = {{
    {access_result::kGranted, "granted"},
    {access_result::kUnknownKey, "unknown key"},
    {access_result::kStaleKeys, "knowledge of keys too old"},
}};

struct access_request {
  const route_table& table;
  const route_config& route;  // in `table`
  std::string_view key;       // "" if the caller sent none
  micros age = 0;             // of the host's knowledge of the store
  micros max_age = 0;
};

struct access_decision {
  access_result result = access_result::kGranted;
  // In the table. Null if the request needs no key, or is not granted.
  const customer_config* customer = nullptr;
};

access_decision CheckAccess(const access_request& request);

}  // namespace baobabtray

#endif  // TRAY_RELAY_CUSTOMER_ACCESS_H_
