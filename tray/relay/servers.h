// The backend servers that registered themselves, as one host sees them, and
// the choice among them.
//
//   PutServer(&pool, entry, now);            // an entry was written
//   RemoveServer(&pool, id, now);            // it was deleted, or has lapsed
//   server_ref s = PickServer(&pool, {.service = "a", .now = now});
//   OnSent(s.get(), attempt, now);
//   OnServed(s.get(), attempt, load, now);   // or OnFailed, OnRefused, ...
//
// A choice takes the smallest expected time: the server's running mean of
// latencies, or the age of its oldest open attempt if that is more, times the
// length of its queue, and a wait for a connection if all that this host may
// have are in use. A paused server is thus avoided from the moment at which
// its first reply is overdue, and tried again as its mean decays towards the
// fastest reply that it ever gave. The running
// mean is that of the paper's trace table (one part in five for the newest
// value; docs/design/choice.md), without its search for untried entries: a far
// server stays untried until a near one is slow.
//
// Memory is about 400 bytes a server. PickServer is linear in the servers of
// one service.

#ifndef TRAY_RELAY_SERVERS_H_
#define TRAY_RELAY_SERVERS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/container/inlined_vector.h"
#include "tray/base/endpoint.h"
#include "tray/base/names.h"
#include "tray/base/time.h"
#include "tray/fleet/latency.h"
#include "tray/relay/extra.h"
#include "tray/routes/routes.h"

namespace baobabtray {

// What a backend server says of itself.
struct registered_server {
  std::string id;  // unique over all services and times
  std::string service;
  endpoint address;  // another server may have it later
  std::string data_centre;
  int slots = 1;
  bool leaving = false;
  micros warmup_remaining = 0;  // from now on
  int64_t started_ms = 0;  // wall clock of its start; another value: it knows
                           // nothing of before
  int64_t sequence = 0;    // rises with each entry since its start
};

// Load as reported in a reply.
struct reported_load {
  int running = 0;
  int waiting = 0;
};

struct open_attempt {
  uint64_t id = 0;
  micros sent_at = 0;
};

// From a host to a server.
enum class server_distance { kLocal, kSameRegion, kOtherRegion };

struct relay_server {
  registered_server info;
  std::string region;
  server_distance distance = server_distance::kOtherRegion;
  micros cold_until = 0;
  micros last_cold_send = 0;
  // Not 0: the entry says leaving, or is missing. The server is then used only
  // if no other is left, and not after this time.
  micros drain_deadline = 0;
  bool lapsed = false;     // the entry is missing
  bool misplaced = false;  // its address answered as another server
  absl::InlinedVector<open_attempt, 8> open_attempts;  // oldest first
  micros mean_latency = 0;  // running mean; 0: never measured
  micros min_latency = 0;   // reply ever; 0: never measured
  micros mean_updated_at = 0;
  double recent_faults = 0;  // decaying count of failed and refused attempts
  micros faults_updated_at = 0;
  micros last_broken_at = 0;  // last time it broke off
  int consecutive_no_reply =
      0;                       // attempts and probes in a row that got no reply
  micros backoff_until = 0;    // silent or unreachable: not used before
  bool unreachable = false;    // not used until a probe makes a connection
  bool probe_pending = false;  // a probe is under way
  bool connected = false;      // had an open connection when last looked at
  micros next_preconnect_at = 0;  // no connection is made ahead before
  int other_hosts_load = 0;  // requests of other hosts there, as last reported
  micros other_load_at = 0;
};
using server_ref = std::shared_ptr<relay_server>;

// Latencies of one route's attempts.
struct route_latency {
  latency_track firsts;
  latency_track extras;  // from the extra attempt's own start
};

struct relay_service {
  service_limits limits;
  std::vector<server_ref> servers;
  extra_budget extra;
  micros last_used_at = 0;  // last asked, or named by a new version
};

// After its start a host expects servers to be full: if all hosts lost power
// together, servers count the old connections beside the new for some seconds.
constexpr micros kStartupPeriod = 8 * kSecond;

struct relay_pool {
  // Constant.
  std::string host_name;  // this one's name
  std::string data_centre;
  std::string region;
  std::map<std::string, std::string> region_of;  // by data centre
  extra_limits extra_request_limits;
  int fleet_extra_floor = 0;  // over all hosts
  micros drain_period = 3 * kSecond;
  // Changing.
  int host_count = 1;     // that shares are divided by
  micros started_at = 0;  // of this host
  std::unordered_map<std::string, relay_service> services;
  std::unordered_map<std::string, server_ref> servers_by_id;
  std::set<std::string, std::less<>> out_of_service;       // data centres
  std::unordered_map<std::string, route_latency> latency;  // by route name
};

// Entries and configuration.
void UpsertServer(relay_pool* pool, registered_server entry, micros now);
void RemoveServer(relay_pool* pool, std::string_view id, micros now);
// Forgets servers whose last use has passed and that have no open attempt.
void RemoveExpiredServers(relay_pool* pool, micros now);
// The service's state; made if it is new.
relay_service* GetOrCreateService(relay_pool* pool, const std::string& name);
void SetServiceLimits(relay_pool* pool,
                      const std::vector<service_limits>& limits);
// Shares are divided by the larger of the hosts that are known to live and the
// number on record: after a common failure hosts start before they see others.
void SetHostCount(relay_pool* pool, int live, int recorded);

// Why no server can be picked.
enum class pick_result {
  kNone,
  kBusy,  // all have as many requests of this host as they may have
  kNoServer,
};

struct pick_request {
  std::string_view service;
  const std::vector<std::string>* regions = nullptr;   // null or empty: all
  const std::vector<std::string>* excluded = nullptr;  // ids not to pick
  micros now = 0;
  uint64_t random = 0;
};

// The server to send to now, or null. `problem` may be null.
server_ref PickServer(relay_pool* pool, const pick_request& request,
                      pick_result* result);

// Expected time until the server would answer one more request, over at most
// `connections` connections.
micros ExpectedLatency(const relay_server& s, int connections, micros now);

// Connections that this host may have to a server of the service.
int ConnectionLimit(const relay_pool& pool, const relay_service& service,
                    micros now);

// What happens to attempts.
void OnSent(relay_server* s, uint64_t attempt, micros now);
void OnServed(relay_server* s, uint64_t attempt, const reported_load* load,
              micros now);
// It answered with a failure of its own.
void OnFailed(relay_server* s, uint64_t attempt, micros now);
// It broke off or sent wrong bytes, as one with too many connections does.
void OnBroken(relay_server* s, uint64_t attempt, micros now);
// True if a new connection to the server may well be reset.
bool MayResetConnections(const relay_pool& pool, const relay_server& s,
                         micros now);
// It refused: not run.
void OnRefused(relay_server* s, uint64_t attempt, micros now);
// No connection could be made. The server is left alone until one can: a
// request that had to find out would be late, and a connection costs little.
void OnUnreachable(relay_server* s, uint64_t attempt, micros now);
// Servers to which a connection should be tried now; marks them as probing.
std::vector<server_ref> TakeDueProbes(relay_pool* pool, micros now);
void OnProbeResult(relay_server* s, bool connected, micros now);
// True if a server is unreachable, so that probes will be due.
bool HasUnreachableServers(const relay_pool& pool);
// Another server answered at its address.
void OnMisplaced(relay_server* s, uint64_t attempt, micros now);
// Given up with no reply. `silent`: it had long been due.
void OnGivenUp(relay_server* s, uint64_t attempt, bool overdue, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAY_SERVERS_H_
