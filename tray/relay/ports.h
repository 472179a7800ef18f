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
#include "tray/base/enum_names.h"
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
  micros patience = 0;  // how long the caller waits; 0: not said
};

// Answers that the tier gives by itself.
enum class own_answer {
  kMalformed,  // the request can't be read
  kNoRoute,    // the routes in force have none for it
  kHeadTooLarge,
  kBodyTooLarge,
  kNotRun,    // refused: it has not run and will not; come back later
  kBroken,    // no answer; it may have run
  kTimedOut,  // no answer in time; it may have run
};
constexpr name_table<own_answer, 7> kOwnAnswerNames = {{
    {own_answer::kMalformed, "malformed"},
    {own_answer::kNoRoute, "no_route"},
    {own_answer::kHeadTooLarge, "head_too_large"},
    {own_answer::kBodyTooLarge, "body_too_large"},
    {own_answer::kNotRun, "not_run"},
    {own_answer::kBroken, "broken"},
    {own_answer::kTimedOut, "timed_out"},
}};

// A merged answer over several shards.
struct merged_answer {
  std::vector<std::string> signatures;  // of the parts that are in it
  int missing = 0;                      // shards without a part
  std::string body;
};

struct caller_codec {
  absl::StatusOr<caller_request> (*decode)(http_request request) = nullptr;
  http_response (*encode_answer)(const relay_answer& answer) = nullptr;
  http_response (*encode_merged)(const merged_answer& answer) = nullptr;
  // `come_back`: of kNotRun, when to try again; 0: not said.
  http_response (*encode_own)(own_answer answer, micros come_back) = nullptr;
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

enum class store_end {
  kOk,
  kForgotten,  // the history asked for is gone
  kMissing,    // there is no such lease
  kConflict,   // the condition does not hold
  kFailed,     // refused, cut or unanswered; a write may have been done
};
constexpr name_table<store_end, 5> kStoreEndNames = {{
    {store_end::kOk, "ok"},
    {store_end::kForgotten, "forgotten"},
    {store_end::kMissing, "missing"},
    {store_end::kConflict, "conflict"},
    {store_end::kFailed, "failed"},
}};

struct stored_items {
  store_end end = store_end::kFailed;
  std::vector<stored_item> items;
  bool more = false;      // of a listing: further pages follow
  uint64_t revision = 0;  // of the store
  std::string problem;    // of kFailed, for people
};

// What an item says.
struct routes_fact {
  std::shared_ptr<const route_table> table;
};
struct server_fact {
  registered_server server;
};
struct server_gone_fact {
  std::string id;
};
struct out_of_service_fact {
  std::string data_centre;
  bool out = true;
};
// A host of this tier, as it announces itself.
struct host_entry {
  std::string name;
  std::string data_centre;
  endpoint peers;  // where other hosts reach it; port 0: not said
};
struct host_fact {
  host_entry host;  // the name alone unless live
  bool live = true;
};
// How many hosts there have lately been at once.
struct fleet_size_fact {
  int hosts = 0;
};
// An item that says nothing, with the reason; a warning if `wrong`.
struct no_fact {
  std::string reason;
  bool wrong = false;
};
using store_fact =
    std::variant<no_fact, routes_fact, server_fact, server_gone_fact,
                 out_of_service_fact, host_fact, fleet_size_fact>;

struct directory_store {
  // A page of all items whose keys come after `after`.
  std::function<void(const std::string& after,
                     std::function<void(stored_items)> done)>
      list;
  // Changes after `revision`, as soon as there is one or `wait` is over.
  std::function<void(uint64_t revision, micros wait,
                     std::function<void(stored_items)> done)>
      watch;
  // Makes a lease; `lease` is 0 unless kOk.
  std::function<void(micros time,
                     std::function<void(store_end, uint64_t lease)> done)>
      open_lease;
  std::function<void(uint64_t lease, std::function<void(store_end)> done)>
      renew_lease;
  std::function<void(uint64_t lease)> end_lease;
  // The item of one key.
  std::function<void(const std::string& key,
                     std::function<void(stored_items)> done)>
      read;
  // Announces this host for as long as the lease lives.
  std::function<void(const host_entry& host, uint64_t lease,
                     std::function<void(store_end)> done)>
      announce_host;
  // Records the size of the fleet, for hosts that start later.
  std::function<void(int hosts, std::function<void(store_end)> done)>
      record_fleet_size;
  // What an item of a listing or a watch says.
  store_fact (*decode)(const stored_item& item) = nullptr;
};

}  // namespace baobabtray

#endif  // TRAY_RELAY_PORTS_H_
