// What the relay needs from the outside: three small structs of functions. An
// adapter fills them in; nothing behind them decides anything.

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
#include "tray/base/names.h"
#include "tray/http/fetch.h"
#include "tray/http/relay_client.h"
#include "tray/http/serve.h"
#include "tray/relay/relay.h"
#include "tray/routes/routes.h"

namespace baobabtray {

// ---- Callers ---------------------------------------------------------------

// A caller's request, decoded once.
struct caller_request {
  std::string id;           // the caller's; unique for each try of the caller
  std::string host;         // lower case, without a port
  std::string host_header;  // as sent
  std::string method;
  std::string target;  // path and query as sent
  std::string path;
  // Request line and headers as passed on, each line ended by CRLF.
  std::shared_ptr<const std::string> head;
  std::shared_ptr<const std::string> body;
  size_t head_bytes = 0;
  micros timeout = 0;  // how long the caller waits; 0: not said
};

// Answers that the tier gives by itself.
enum class local_reply {
  kMalformed,  // the request can't be read
  kNoRoute,    // the routes in force have none for it
  kHeadTooLarge,
  kBodyTooLarge,
  kNotRun,    // refused: it has not run and will not; come back later
  kBroken,    // no answer; it may have run
  kTimedOut,  // no answer in time; it may have run
};
constexpr name_table<local_reply, 7> kLocalReplyNames = {{
    {local_reply::kMalformed, "malformed"},
    {local_reply::kNoRoute, "no_route"},
    {local_reply::kHeadTooLarge, "head_too_large"},
    {local_reply::kBodyTooLarge, "body_too_large"},
    {local_reply::kNotRun, "not_run"},
    {local_reply::kBroken, "broken"},
    {local_reply::kTimedOut, "timed_out"},
}};

// A merged answer over several shards.
struct merged_response {
  std::vector<std::string> signatures;  // of the parts that are in it
  int missing_shards = 0;               // shards without a part
  std::string body;
};

struct caller_codec {
  absl::StatusOr<caller_request> (*decode)(http_request request) = nullptr;
  http_response (*encode_response)(const backend_response& response) = nullptr;
  http_response (*encode_merged)(const merged_response& response) = nullptr;
  // `come_back`: of kNotRun, when to try again; 0: not said.
  http_response (*encode_local_reply)(local_reply reply,
                                      micros retry_after) = nullptr;
};

// ---- Backend servers -------------------------------------------------------

struct server_codec {
  relay_call (*encode)(const caller_request& request,
                       const relay_send& send) = nullptr;
  // `part`: the answer is one shard's part of a merged answer.
  server_reply (*decode)(fetch_result reply, bool part) = nullptr;
};

// ---- Store -----------------------------------------------------------------

// A value in the store, or its removal.
struct stored_item {
  std::string key;
  std::string value;
  uint64_t revision = 0;
  bool removed = false;
};

enum class store_status {
  kOk,
  kCompacted,  // the history asked for is gone
  kNotFound,   // there is no such lease
  kConflict,   // the condition does not hold
  kFailed,     // refused, cut or unanswered; a write may have been done
};
constexpr name_table<store_status, 5> kStoreStatusNames = {{
    {store_status::kOk, "ok"},
    {store_status::kCompacted, "forgotten"},
    {store_status::kNotFound, "missing"},
    {store_status::kConflict, "conflict"},
    {store_status::kFailed, "failed"},
}};

struct store_read_result {
  store_status status = store_status::kFailed;
  std::vector<stored_item> items;
  bool has_more = false;      // of a listing: further pages follow
  uint64_t revision = 0;      // of the store
  std::string error_message;  // of kFailed, for people
};

// What an item says.
struct routes_update {
  std::shared_ptr<const route_table> table;
};
struct server_update {
  registered_server server;
};
struct server_removal {
  std::string id;
};
struct data_centre_update {
  std::string data_centre;
  bool out_of_service = true;
};
// A host of this tier, as it announces itself.
struct registered_host {
  std::string name;
  std::string data_centre;
  endpoint peer_address;  // where other hosts reach it; port 0: not said
};
struct host_update {
  registered_host host;  // the name alone unless live
  bool live = true;
};
// How many hosts there have lately been at once.
struct fleet_size_update {
  int hosts = 0;
};
// An item that says nothing, with the reason; a warning if `wrong`.
struct ignored_item {
  std::string reason;
  bool malformed = false;
};
using store_update =
    std::variant<ignored_item, routes_update, server_update, server_removal,
                 data_centre_update, host_update, fleet_size_update>;

struct directory_store {
  // A page of all items whose keys come after `after`.
  std::function<void(const std::string& after,
                     std::function<void(store_read_result)> done)>
      list;
  // Changes after `revision`, as soon as there is one or `wait` is over.
  std::function<void(uint64_t revision, micros wait,
                     std::function<void(store_read_result)> done)>
      watch;
  // Makes a lease; `lease` is 0 unless kOk.
  std::function<void(micros ttl,
                     std::function<void(store_status, uint64_t lease)> done)>
      open_lease;
  std::function<void(uint64_t lease, std::function<void(store_status)> done)>
      renew_lease;
  std::function<void(uint64_t lease)> end_lease;
  // The item of one key.
  std::function<void(const std::string& key,
                     std::function<void(store_read_result)> done)>
      read;
  // Announces this host for as long as the lease lives.
  std::function<void(const registered_host& host, uint64_t lease,
                     std::function<void(store_status)> done)>
      announce_host;
  // Records the size of the fleet, for hosts that start later.
  std::function<void(int hosts, std::function<void(store_status)> done)>
      record_fleet_size;
  // What an item of a listing or a watch says.
  store_update (*decode)(const stored_item& item) = nullptr;
};

}  // namespace baobabtray

#endif  // TRAY_RELAY_PORTS_H_
