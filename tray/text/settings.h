// Settings of one daemon, read from YAML.
//
//   absl::StatusOr<settings> s = ParseSettings(yaml);
//
// Settings hold what is specific to one host: its location, its listeners and
// the addresses it connects to. What is common to all hosts is configured in
// the operators' text (topology.h).

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

// How the replica for a shard request is chosen.
enum class choice_mode { kTwoChoices, kLeastWait, kTraceTable };
constexpr name_table<choice_mode, 3> kChoiceModeNames = {{
    {choice_mode::kTwoChoices, "two_choices"},
    {choice_mode::kLeastWait, "least_wait"},
    {choice_mode::kTraceTable, "trace_table"},
}};

// When a hedged request is sent for an unanswered shard.
enum class hedge_mode { kOff, kQuantile, kLastFew };
constexpr name_table<hedge_mode, 3> kHedgeModeNames = {{
    {hedge_mode::kOff, "off"},
    {hedge_mode::kQuantile, "quantile"},
    {hedge_mode::kLastFew, "last_few"},
}};

// Protocol spoken with callers and backend servers.
enum class interface_mode { kOwn, kPlatform };
constexpr name_table<interface_mode, 2> kInterfaceModeNames = {{
    {interface_mode::kOwn, "own"},
    {interface_mode::kPlatform, "platform"},
}};

// A data centre and its region.
struct data_centre_region {
  std::string data_centre;
  std::string region;
};

// Bound on the age of knowledge of customers' keys unless a deployment sets a
// strict one. It is beyond the outages of the store that hosts are to serve
// through.
constexpr micros kMaxKeyAge = 600 * kSecond;

// Settings of a relay host, which reads its routes and backend servers from the
// platform's store. The limits are guarantees given to operators and must be
// the same on all hosts.
struct relay_settings {
  endpoint ready;  // listener for the load balancer's readiness checks
  std::vector<data_centre_region> data_centre_regions;
  // Extra requests (hedges and retries) to one service within any window,
  // summed over all hosts: at most extra_ratio * first requests + extra_floor.
  double extra_ratio = 0.2;
  int extra_floor = 50;
  micros extra_window = 10 * kSecond;
  // A change in the store is in force on all hosts that can reach the store
  // after this time.
  micros change_limit = 3 * kSecond;
  // No request reaches a backend server later than this after it has left.
  micros leave_timeout = 3 * kSecond;
  // A host that last heard from the store longer ago refuses requests that need
  // a customer's key, since the key may have been taken away.
  micros max_key_age = kMaxKeyAge;
  // A customer's requests in any quota_window, summed over all hosts: at most
  // (rate * window + burst) * (1 + overage) + slack. Window 0: customers'
  // limits are not enforced.
  micros quota_window = 0;
  double quota_overage = 0;
  double quota_slack = 0;
  // Bound on the requests sent to a bad version in a roll-out, over all hosts:
  // rollout_share * all requests to its service + rollout_slack.
  double rollout_share = 0.1;
  int rollout_slack = 50;
  // How long servers of a version that is new to their service are used only if
  // no other is, since an order to roll it out may follow; 0: not at all.
  micros new_version_hold = 0;
  // Time from SIGTERM until the process is killed.
  micros shutdown_grace = 6 * kSecond;
};

struct settings {
  std::string name;         // unique among hosts
  std::string data_centre;  // as listed in the operators' text
  std::string region;
  endpoint callers;             // listener for queries
  endpoint peers;               // listener for other hosts
  endpoint admin;               // listener for operators
  endpoint store;               // the platform's key-value store
  std::vector<endpoint> seeds;  // peers to contact first; may be empty
  int threads = 1;              // number of traffic threads
  log_level level = log_level::kInfo;
  std::string admin_token_file;  // empty: edits are rejected
  std::string peer_secret_file;  // empty: peer messages are not signed
  choice_mode choice = choice_mode::kLeastWait;
  hedge_mode hedging = hedge_mode::kLastFew;
  int drain_ms = 2000;  // /ready fails this long before listeners close
  // Limits of the host. Clients hold at most a part of them.
  int memory_mb = 256;
  int max_fds = 0;  // descriptors; 0: as the system limits the process
  int log_lines_per_s = kDefaultLogLinesPerSecond;  // 0: unlimited
  interface_mode interface = interface_mode::kOwn;
  relay_settings relay;  // required if `interface` is kPlatform
};

absl::StatusOr<settings> ParseSettings(std::string_view yaml);

}  // namespace baobabtray

#endif  // TRAY_TEXT_SETTINGS_H_
