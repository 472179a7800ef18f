// Interfaces between the relay and its environment: callers, backend servers
// and the store. Adapters implement them as structs of functions that translate
// between formats and make no routing decisions.

#ifndef TRAY_RELAY_PORTS_H_
#define TRAY_RELAY_PORTS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "tray/base/enum_names.h"
#include "tray/http/fetch.h"
#include "tray/http/relay_client.h"
#include "tray/http/serve.h"
#include "tray/relay/relay.h"
#include "tray/rollout/rollout.h"
#include "tray/routes/routes.h"

namespace baobabtray {

// ---- Callers ---------------------------------------------------------------

// A decoded request of a caller.
struct caller_request {
  std::string id;           // set by the caller; unique for each of its tries
  std::string host;         // lower case, without a port
  std::string host_header;  // as received
  std::string method;
  std::string target;  // path and query as received
  std::string path;
  // Request line and headers to forward, each line ended by CRLF.
  std::shared_ptr<const std::string> head;
  std::shared_ptr<const std::string> body;
  size_t head_bytes = 0;
  micros timeout = 0;  // how long the caller waits; 0: not specified
  // The caller's key, or "" if it sent none that can be read. Secret: never
  // logged.
  std::string key;
  // Header lines about the caller's identity as received, each ended by CRLF.
  // Forwarded only if the configuration has no customers.
  std::string identity_headers;
  // Name of the customer that holds the key, for the backend server.
  std::string customer;
};

// Error responses that this host generates itself.
enum class local_reply {
  kMalformed,   // the request could not be parsed
  kUnknownKey,  // the route needs a customer's key, which the caller lacks
  kNoRoute,     // no route in the current table matches
  kHeadTooLarge,
  kBodyTooLarge,
  kNotRun,     // rejected: has not run and will not run; may be retried
  kOverQuota,  // the same, since the customer is over its limit
  kBroken,     // no response from a server; may have run
  kTimedOut,   // no response before the deadline; may have run
};
constexpr name_table<local_reply, 9> kLocalReplyNames = {{
    {local_reply::kMalformed, "malformed"},
    {local_reply::kUnknownKey, "unknown_key"},
    {local_reply::kNoRoute, "no_route"},
    {local_reply::kHeadTooLarge, "head_too_large"},
    {local_reply::kBodyTooLarge, "body_too_large"},
    {local_reply::kNotRun, "not_run"},
    {local_reply::kOverQuota, "over_quota"},
    {local_reply::kBroken, "broken"},
    {local_reply::kTimedOut, "timed_out"},
}};

// The merged response of a route with shards.
struct merged_response {
  std::vector<std::string> signatures;  // of the shards' responses included
  int missing_shards = 0;
  std::string body;
};

struct caller_codec {
  absl::StatusOr<caller_request> (*decode)(http_request request) = nullptr;
  http_response (*encode_response)(const backend_response& response) = nullptr;
  http_response (*encode_merged)(const merged_response& response) = nullptr;
  // `retry_after` applies to kNotRun and kOverQuota; 0: not specified.
  http_response (*encode_local_reply)(local_reply reply,
                                      micros retry_after) = nullptr;
};

// ---- Backend servers -------------------------------------------------------

struct server_codec {
  relay_call (*encode)(const caller_request& request,
                       const relay_send& send) = nullptr;
  // `part`: the reply is one shard's part of a merged response.
  server_reply (*decode)(fetch_result reply, bool part) = nullptr;
};

// ---- Store -----------------------------------------------------------------

// A key's value in the store, or its deletion.
struct stored_item {
  std::string key;
  std::string value;
  uint64_t revision = 0;
  bool removed = false;
};

enum class store_status {
  kOk,
  kCompacted,  // the requested history is no longer available
  kNotFound,   // the lease or key does not exist
  kConflict,   // the condition does not hold
  kFailed,     // rejected, interrupted or timed out; a write may have happened
};
constexpr name_table<store_status, 5> kStoreStatusNames = {{
    {store_status::kOk, "ok"},
    {store_status::kCompacted, "forgotten"},
    {store_status::kNotFound, "missing"},
    {store_status::kConflict, "conflict"},
    {store_status::kFailed, "failed"},
}};

// Result of a listing, a watch or a read of one key.
struct store_read_result {
  store_status status = store_status::kFailed;
  std::vector<stored_item> items;
  bool has_more = false;  // of a listing: further pages follow
  uint64_t revision = 0;  // of the store, within its era
  // Rises when the store comes back from an older copy. Revisions of two eras
  // can't be compared. 0: not stated.
  uint64_t era = 0;
  std::string error_message;  // for kFailed
};

// Decoded store items.
struct routes_update {
  std::shared_ptr<const route_table> table;
};
// `made_after` (steady clock): the change was made after this time, which may
// be long before it is learned; 0: unknown.
struct server_update {
  registered_server server;
  micros made_after = 0;
};
struct server_removal {
  std::string id;
  micros made_after = 0;
};
struct data_centre_update {
  std::string data_centre;
  bool out_of_service = true;
};
// A relaying host as it registers itself in the store.
struct registered_host {
  std::string name;
  std::string data_centre;
  endpoint peer_address;  // for other hosts; port 0: not specified
};
struct host_update {
  registered_host host;  // only the name is set unless live
  bool live = true;
};
// The number of hosts that were recently live at the same time.
struct fleet_size_update {
  int hosts = 0;
};
// An operator's order to roll out a version, or its withdrawal, and the record
// of the roll-out's leader (rollout.h).
struct rollout_order_update {
  rollout_order order;  // only the service is set if removed
  bool removed = false;
};
struct rollout_record_update {
  rollout_record record;
};
// An item with no effect. Logged as a warning if `malformed`.
struct ignored_item {
  std::string reason;
  bool malformed = false;
};
using store_update =
    std::variant<ignored_item, routes_update, server_update, server_removal,
                 data_centre_update, host_update, fleet_size_update,
                 rollout_order_update, rollout_record_update>;

struct directory_store {
  // Reads a page of all items whose keys sort after `after`.
  std::function<void(const std::string& after,
                     std::function<void(store_read_result)> done)>
      list;
  // Waits for changes after `revision`; returns none once `wait` has passed.
  // Fails after `limit`.
  std::function<void(uint64_t revision, micros wait, micros limit,
                     std::function<void(store_read_result)> done)>
      watch;
  // Creates a lease; `lease` is 0 unless kOk.
  std::function<void(micros ttl,
                     std::function<void(store_status, uint64_t lease)> done)>
      open_lease;
  std::function<void(uint64_t lease, std::function<void(store_status)> done)>
      renew_lease;
  std::function<void(uint64_t lease)> end_lease;
  // Reads the item of one key.
  std::function<void(const std::string& key,
                     std::function<void(store_read_result)> done)>
      read;
  // Registers this host for the lifetime of the lease.
  std::function<void(const registered_host& host, uint64_t lease,
                     std::function<void(store_status)> done)>
      announce_host;
  // Records the fleet's size, which hosts read when they start.
  std::function<void(int hosts, std::function<void(store_status)> done)>
      record_fleet_size;
  // Sets a function that is called with the era of each answer of the store to
  // any of these calls, before the call's own callback.
  std::function<void(std::function<void(uint64_t era)> observe)> observe_era;
  // Writes the record of a roll-out's leader, and the status that operators
  // read at the same time, if the record's revision is still `record.revision`
  // (0: there is none). `revision`: of the new one, for kOk.
  std::function<void(const rollout_record& record,
                     std::function<void(store_status, uint64_t revision)> done)>
      write_rollout;
  // Decodes an item of a listing, a watch or a read.
  store_update (*decode)(const stored_item& item) = nullptr;
};

}  // namespace baobabtray

#endif  // TRAY_RELAY_PORTS_H_
