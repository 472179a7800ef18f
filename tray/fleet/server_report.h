// Status reports about a backend server, and their ordering.
//
// Every reply of a backend server carries its boot id, which increases with
// each start, and its uptime at the time of sending. The pair (boot, uptime)
// therefore orders all reports about one server regardless of the path and the
// delay with which they arrive: an older report never overrides a newer one.
// Health reports lag behind and can be wrong, so a health report may downgrade
// a server at once, but only a reply may upgrade it.

#ifndef TRAY_FLEET_SERVER_REPORT_H_
#define TRAY_FLEET_SERVER_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tray/base/enum_names.h"

namespace baobabtray {

// State that a backend server reports about itself.
enum class reported_state { kReady, kCold, kLeaving };
constexpr name_table<reported_state, 3> kReportedStateNames = {{
    {reported_state::kReady, "ready"},
    {reported_state::kCold, "cold"},
    {reported_state::kLeaving, "leaving"},
}};

// Origin of a report, least trusted first.
enum class report_source { kHealth, kPeer, kReply };

// Time of a report on the server's own clock.
struct report_stamp {
  uint64_t boot = 0;  // 0: no report yet
  uint64_t uptime_ms = 0;

  friend auto operator<=>(const report_stamp&, const report_stamp&) = default;
};

// An index version that a server holds, and the service's sharding in it.
struct version_report {
  uint64_t version = 0;
  int shard_count = 0;      // of the whole service in this version
  std::vector<int> shards;  // held by this server, ascending

  friend bool operator==(const version_report&,
                         const version_report&) = default;
};

struct server_report {
  report_stamp stamp;
  reported_state state = reported_state::kReady;
  // Concurrent requests accepted while cold; 0: not reported.
  int cold_limit = 0;
  int load = 0;  // requests in progress and queued
};

}  // namespace baobabtray

#endif  // TRAY_FLEET_SERVER_REPORT_H_
