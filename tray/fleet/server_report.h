// What is known about one backend server, and how reports are ordered.
//
// Every reply of a backend server carries its boot id, which grows with each
// start, and its uptime at the moment of sending. (boot, uptime) therefore
// orders all reports about one server, whoever passes them on and however late
// they arrive: an older report never undoes a newer one. Health reports lag and
// may mislead, so they may only lower trust at once; raising it is left to
// replies.

#ifndef TRAY_FLEET_SERVER_REPORT_H_
#define TRAY_FLEET_SERVER_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tray/base/enum_names.h"

namespace baobabtray {

// What a backend server says of itself.
enum class reported_state { kReady, kCold, kLeaving };
constexpr name_table<reported_state, 3> kReportedStateNames = {{
    {reported_state::kReady, "ready"},
    {reported_state::kCold, "cold"},
    {reported_state::kLeaving, "leaving"},
}};

// Where a report comes from, weakest first.
enum class report_source { kHealth, kPeer, kReply };

// When, on the server's own clock, a report was made.
struct report_stamp {
  uint64_t boot = 0;  // 0: nothing known
  uint64_t uptime_ms = 0;

  friend auto operator<=>(const report_stamp&, const report_stamp&) = default;
};

// An index version that a server can answer, and how its service is cut there.
struct version_report {
  uint64_t version = 0;
  int shard_count = 0;      // shards of the service in this version
  std::vector<int> shards;  // those this server holds, ascending

  friend bool operator==(const version_report&,
                         const version_report&) = default;
};

// One report about one server.
struct server_report {
  report_stamp stamp;
  reported_state state = reported_state::kReady;
  int cold_limit = 0;  // requests it bears at once while cold; 0: not said
  int load = 0;        // requests it works on and has queued
};

}  // namespace baobabtray

#endif  // TRAY_FLEET_SERVER_REPORT_H_
