// Settings of one daemon, read from YAML and checked as a whole.
//
//   absl::StatusOr<settings> s = ParseSettings(yaml);
//
// Settings say where this process is and whom it talks to. Everything that is
// the same on all hosts belongs in the operators' text instead.

#ifndef TRAY_TEXT_SETTINGS_H_
#define TRAY_TEXT_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tray/base/endpoint.h"
#include "tray/base/enum_names.h"
#include "tray/base/log.h"
#include "tray/base/time.h"

namespace baobabtray {

// How a replica is chosen for a shard.
enum class choice_mode { kTwoChoices, kLeastWait, kTraceTable };
constexpr name_table<choice_mode, 3> kChoiceModeNames = {{
    {choice_mode::kTwoChoices, "two_choices"},
    {choice_mode::kLeastWait, "least_wait"},
    {choice_mode::kTraceTable, "trace_table"},
}};

// When an unanswered shard is asked a second time.
enum class hedge_mode { kOff, kQuantile, kLastFew };
constexpr name_table<hedge_mode, 3> kHedgeModeNames = {{
    {hedge_mode::kOff, "off"},
    {hedge_mode::kQuantile, "quantile"},
    {hedge_mode::kLastFew, "last_few"},
}};

// What callers and backend servers speak with this process.
enum class interface_mode { kOwn, kPlatform };
constexpr name_table<interface_mode, 2> kInterfaceModeNames = {{
    {interface_mode::kOwn, "own"},
    {interface_mode::kPlatform, "platform"},
}};

// A data centre and the region that it belongs to.
struct data_centre_region {
  std::string data_centre;
  std::string region;
};

// Settings of a host whose routes and backend servers come from the platform's
// store. The bounds are the operators' promises, the same on all hosts.
struct relay_settings {
  endpoint ready;  // listener for the balancer's readiness checks
  std::vector<data_centre_region> data_centre_regions;
  // Extra requests allowed to a service within any window, over all hosts:
  // ratio x the requests for it + floor.
  double extra_ratio = 0.2;
  int extra_floor = 50;
  micros extra_window = 10 * kSecond;
  // Nothing reaches a backend server longer than this after it left.
  micros leave_timeout = 3 * kSecond;
  // From SIGTERM until the process is killed.
  micros shutdown_grace = 6 * kSecond;
};

struct settings {
  std::string name;         // unique among hosts
  std::string data_centre;  // one that the operators' text lists
  std::string region;
  endpoint callers;             // listener for queries
  endpoint peers;               // listener for other hosts
  endpoint admin;               // listener for operators
  endpoint store;               // the platform's key-value service
  std::vector<endpoint> seeds;  // peers to try first; may be empty
  int threads = 1;              // for traffic
  log_level level = log_level::kInfo;
  std::string admin_token_file;  // empty: edits are refused
  std::string peer_secret_file;  // empty: peer messages are not signed
  choice_mode choice = choice_mode::kLeastWait;
  hedge_mode hedging = hedge_mode::kLastFew;
  int drain_ms = 2000;  // /ready fails this long before listeners close
  int log_lines_per_s =
      kDefaultLogLinesPerSecond;  // a second at most; 0: no bound
  interface_mode interface = interface_mode::kOwn;
  relay_settings relay;  // read if `speaks` is kPlatform
};

absl::StatusOr<settings> ParseSettings(std::string_view yaml);

}  // namespace baobabtray

#endif  // TRAY_TEXT_SETTINGS_H_
