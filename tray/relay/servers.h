// Registered backend servers as one host sees them, and server selection.
//
//   UpsertServer(&pool, entry, now, made_after);  // an entry was written
//   RemoveServer(&pool, id, now, made_after);     // it was deleted or expired
//   server_ref s = PickServer(&pool, {.service = "a", .now = now}, nullptr);
//   OnSent(s.get(), attempt, now);
//   OnServed(s.get(), attempt, load, now);   // or OnFailed, OnRefused, ...
//
// PickServer selects the server with the lowest expected latency. This is the
// running mean of the server's latencies, or the age of its oldest open attempt
// if that is higher, scaled by the length of its queue, plus the wait for a
// connection if all connections that this host may have are in use. A paused
// server is thus avoided from the moment its first reply is overdue, and is
// tried again as its mean decays towards the lowest latency ever measured.
//
// If servers of the service report how slow their machine is, the expected
// latency is scaled by it, and the choice among servers whose expected
// latencies are close is random (balance.h).
//
// The running mean is that of the paper's trace table: the newest value has a
// weight of one fifth (docs/design/choice.md). The paper's exploration of
// untried entries is left out: a distant server is not tried until a near one
// is slow.
//
// Memory is about 400 bytes per server. PickServer is linear in the servers of
// one service.

#ifndef TRAY_RELAY_SERVERS_H_
#define TRAY_RELAY_SERVERS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/container/inlined_vector.h"
#include "tray/base/endpoint.h"
#include "tray/base/enum_names.h"
#include "tray/base/time.h"
#include "tray/fleet/latency.h"
#include "tray/relay/balance.h"
#include "tray/relay/extra.h"
#include "tray/relay/overload.h"
#include "tray/relay/rate_limit.h"
#include "tray/relay/server_notice.h"
#include "tray/rollout/version_gate.h"
#include "tray/routes/routes.h"

namespace baobabtray {

// A backend server as it registers itself.
struct registered_server {
  std::string id;  // unique over all services and times
  std::string service;
  endpoint address;  // may be reused by another server later
  std::string data_centre;
  std::string version;  // of its software; empty: not stated
  int slots = 1;
  bool leaving = false;
  micros warmup_remaining = 0;  // from the time the entry is read
  // Wall clock of the server's start. A different value means that the server
  // was restarted and has lost its earlier state.
  int64_t started_ms = 0;
  int64_t sequence = 0;  // increases with each entry since its start
};

struct open_attempt {
  uint64_t id = 0;
  micros sent_at = 0;
};

// Distance from this host to a server.
enum class server_distance { kLocal, kSameRegion, kOtherRegion };

struct relay_server {
  registered_server info;
  std::string region;
  server_distance distance = server_distance::kOtherRegion;
  micros cold_until = 0;
  micros last_cold_send = 0;
  // Not 0 if the entry says that the server is leaving, or if there is no
  // entry. The server is then used only if no other is available, and only
  // until this time.
  micros drain_deadline = 0;
  // Null without a roll-out of its service. Shared by the service's servers.
  std::shared_ptr<version_gate> gate;
  micros registered_at = 0;  // when this host learned of it
  // Used only if no other server is eligible until then: a new version whose
  // order may still be on its way.
  micros hold_until = 0;
  bool lapsed = false;     // there is no entry
  bool misplaced = false;  // another server replied at its address
  absl::InlinedVector<open_attempt, 8> open_attempts;  // oldest first
  micros last_sent_at = 0;     // last attempt, open or not
  micros mean_latency = 0;     // running mean; 0: never measured
  micros min_latency = 0;      // lowest ever; 0: never measured
  micros mean_updated_at = 0;  // time of the last change of mean_latency
  double recent_faults = 0;    // decaying count of failed and refused attempts
  micros faults_updated_at = 0;
  micros last_broken_at = 0;     // last time a connection to it was lost
  int consecutive_no_reply = 0;  // attempts and probes without a reply
  micros backoff_until = 0;      // after no reply or no connection
  bool unreachable = false;      // until a probe connects
  bool probe_pending = false;
  // Rejects new connections until then, since it has too many.
  micros full_until = 0;
  int consecutive_full = 0;       // rejected connections since a reply
  bool connected = false;         // had an open connection at the last check
  micros next_preconnect_at = 0;  // no preconnect before
  rate_limit limit;
  server_notice notice;
  bool invalid_pause_logged = false;
  int other_hosts_load = 0;  // requests of other hosts, as last reported
  micros other_load_at = 0;
  server_slowdown slowdown;
  micros last_reply_at = 0;  // 0: none yet
};
using server_ref = std::shared_ptr<relay_server>;

// Latencies of one route's attempts.
struct route_latency {
  latency_histogram firsts;
  latency_histogram extras;  // measured from the extra attempt's own start
};

struct relay_service {
  service_limits limits;
  std::vector<server_ref> servers;
  extra_budget extra;
  std::shared_ptr<version_gate> gate;  // null without a roll-out
  load_estimate load;                  // of the servers that were asked
  micros full_at = 0;       // last time a server rejected a connection
  micros last_used_at = 0;  // last request, or new table that names the service
  // A server has reported its slowdown. Requests are then spread by
  // BalanceWeights; otherwise the lowest expected latency is picked.
  bool balanced = false;
};

// Period after a host's start in which it assumes that servers are full. If all
// hosts lost power together, servers count the old connections beside the new
// ones for some seconds.
constexpr micros kStartupPeriod = 8 * kSecond;

struct relay_pool {
  // Constant.
  std::string host_name;  // of this host
  std::string data_centre;
  std::string region;
  std::map<std::string, std::string> region_of;  // by data centre
  extra_limits extra_request_limits;             // this host's share
  int fleet_extra_floor = 0;                     // over all hosts
  micros drain_period = 3 * kSecond;  // in which leaving servers still serve
  // How long servers of a new version wait for an order; 0: roll-outs are not
  // called for.
  micros new_version_hold = 0;
  // Variable.
  int host_count = 1;     // divisor of the shares
  fleet_view fleet;       // for shares of limits that servers name
  micros started_at = 0;  // of this host
  std::unordered_map<std::string, relay_service> services;
  std::unordered_map<std::string, server_ref> servers_by_id;
  std::set<std::string, std::less<>> out_of_service;       // data centres
  std::unordered_map<std::string, route_latency> latency;  // by route name
};

// Adds a server or updates its entry. `made_after`: the store made the change
// after this time, from which the drain period counts; 0: unknown.
void UpsertServer(relay_pool* pool, registered_server entry, micros now,
                  micros made_after = 0);
// Marks the server's entry as missing and starts its drain period.
void RemoveServer(relay_pool* pool, std::string_view id, micros now,
                  micros made_after = 0);
// Time until which a server without an entry may be used, if its entry was
// removed after `made_after` and this is learned now.
micros LapsedDeadline(const relay_pool& pool, micros made_after, micros now);
// The same for an entry that says that the server leaves.
micros LeavingDeadline(const relay_pool& pool, micros made_after, micros now);
// Whether a request for which the server was picked may be sent to it now.
bool MayStillSend(const relay_pool& pool, const relay_server& s, micros now);
// Deletes servers without an entry whose drain deadline has passed. Open
// attempts keep their server's state alive.
void RemoveExpiredServers(relay_pool* pool, micros now);
relay_service* GetOrCreateService(relay_pool* pool, const std::string& name);
void SetServiceLimits(relay_pool* pool,
                      const std::vector<service_limits>& limits);
// Shares are divided by the larger of the number of hosts known to be live and
// the recorded number: after a failure of all hosts, a host starts before it
// sees the others.
void SetHostCount(relay_pool* pool, int live, int recorded);
// Sets the host count, and the shares of limits that servers name.
void SetFleet(relay_pool* pool, fleet_view fleet, micros now);

enum class pick_result {
  kOk,
  kBusy,      // all servers are at this host's limit of requests
  kNoServer,  // no server is eligible
  kFull,      // eligible servers reject connections, and none is open
  kLimited,   // this host's share of their rate limits is used
  kPaused,    // eligible servers want a pause
};

constexpr name_table<pick_result, 6> kPickResultNames = {{
    {pick_result::kOk, "not asked"},
    {pick_result::kBusy, "all busy"},
    {pick_result::kNoServer, "no server"},
    {pick_result::kFull, "all full"},
    {pick_result::kLimited, "all limited"},
    {pick_result::kPaused, "all paused"},
}};

struct pick_request {
  std::string_view service;
  const std::vector<std::string>* regions = nullptr;  // null or empty: all
  // The same; a server has to be in both lists.
  const std::vector<std::string>* customer_regions = nullptr;
  const std::vector<std::string>* excluded = nullptr;  // server ids
  // A request that can do without: where connections are scarce it takes none
  // that another host may need, and none of a server's rate limit.
  bool optional = false;
  // To a server of the version that is being rolled out (version_gate.h).
  bool trial = false;
  micros now = 0;
  uint64_t random = 0;  // breaks ties; chooses among servers that are close
};

// Returns the server to send a request to, or null. `result` and `rank` may be
// null. `rank`: how many servers have a lower expected latency, if the service
// is balanced; otherwise kUnranked.
constexpr int kUnranked = -1;
server_ref PickServer(relay_pool* pool, const pick_request& request,
                      pick_result* result, int* rank = nullptr);

// Expected time until the server replies to one more request, sent over at most
// `connections` connections.
micros ExpectedLatency(const relay_server& s, int connections, micros now);

// Number of connections that this host may have to one server of the service.
int ConnectionLimit(const relay_pool& pool, const relay_service& service,
                    micros now);

// A reply to a request that was sent at `sent_at` names this limit, or none.
// Returns whether the server has begun or ceased to name one.
bool OnRateLimit(const relay_pool& pool, relay_server* s,
                 std::optional<double> per_second, micros sent_at, micros now);

// Time until which requests may be sent to a server that leaves, by its entry
// or its replies; kNoDeadline if it does not leave.
micros DrainDeadline(const relay_pool& pool, const relay_server& s);

// Events of attempts. Each event but OnSent closes the attempt; events of
// attempts that are not open are ignored.
void OnSent(relay_server* s, uint64_t attempt, micros now);
void OnServed(relay_server* s, uint64_t attempt, const reported_load* load,
              micros now);
// The server replied with an error of its own.
void OnFailed(relay_server* s, uint64_t attempt, micros now);
// The connection was lost or the reply was invalid, as happens with a server
// that has too many connections.
void OnBroken(relay_server* s, uint64_t attempt, micros now);
// Returns true if the server is likely to reset a new connection.
bool MayResetConnections(const relay_pool& pool, const relay_server& s,
                         micros now);
// The server rejected the request without running it. `paused`: it wants a
// pause, which does not count against it.
void OnRefused(relay_server* s, uint64_t attempt, bool paused, micros now);
// No connection could be made. The server is not used until a probe connects: a
// request that discovers the failure would be late, while a probe costs little.
void OnUnreachable(relay_server* s, uint64_t attempt, micros now);
// The server rejected the connection because it has too many. This says nothing
// about its health: requests go to it over open connections, and new ones are
// tried after a delay that doubles. While a server of a service was recently
// full, connections to the service are scarce.
void OnServerFull(relay_service* service, relay_server* s, uint64_t attempt,
                  micros now);
bool ConnectionsScarce(const relay_service& service, micros now);
// Returns the unreachable servers that are due for a probe, and marks them as
// being probed. Report each result to OnProbeResult.
std::vector<server_ref> TakeDueProbes(relay_pool* pool, micros now);
void OnProbeResult(relay_server* s, bool connected, micros now);
// Returns true if an unreachable server will need further probes.
bool HasUnreachableServers(const relay_pool& pool);
// Another server replied at its address.
void OnMisplaced(relay_server* s, uint64_t attempt, micros now);
// The attempt was given up without a reply. `overdue`: the reply should have
// arrived long before, which counts against the server.
void OnGivenUp(relay_server* s, uint64_t attempt, bool overdue, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAY_SERVERS_H_
