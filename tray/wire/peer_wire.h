// Messages between hosts of the tier: JSON bodies, signed with a shared secret.
//
// A message carries an HMAC-SHA256 over its path, its time and its body. A
// message that is malformed, wrongly signed or too old is refused and logged;
// nothing of it is believed. Bodies are bounded by the server's limit.

#ifndef TRAY_WIRE_PEER_WIRE_H_
#define TRAY_WIRE_PEER_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tray/config/config.h"
#include "tray/config/delta.h"
#include "tray/fleet/server_report.h"
#include "tray/members/members.h"

namespace baobabtray {

// Messages whose clock differs by more from ours are refused.
constexpr int64_t kMaxClockSkewMs = 300'000;
constexpr std::string_view kPeerAuthHeader = "X-Peer-Auth";
// Reports in one digest, at most.
constexpr size_t kMaxEvidencePerDigest = 24;

// What one host knows of one backend server from replies.
struct evidence_item {
  std::string server;
  report_stamp stamp;
  reported_state state = reported_state::kReady;
  int cold_limit = 0;
  std::vector<version_report> versions;
};

struct digest {
  member from;
  int64_t revision = 0;  // of the configuration in force there
  std::vector<member> changes;
  std::vector<evidence_item> evidence;
};

std::string DumpDigest(const digest& d);
absl::StatusOr<digest> ParseDigest(std::string_view json);

// A configuration on its way to a peer: whole, or as a difference to `base`.
struct config_message {
  config meta;       // without its text; recent edits after `base` only
  int64_t base = 0;  // 0: `whole` is set
  text_delta delta;
  std::string whole;
};

std::string DumpConfigMessage(const config_message& m);
absl::StatusOr<config_message> ParseConfigMessage(std::string_view json);

// Builds the message for a peer that has `base` (null: nothing usable).
config_message MakeConfigMessage(const config& current, const config* base);

// The configuration that `m` stands for, or nothing if `base` does not fit.
std::optional<config> ApplyConfigMessage(config_message m, const config* base);

// Value of kPeerAuthHeader for a message, and its check. An empty secret signs
// nothing and accepts everything.
std::string SignPeerMessage(std::string_view secret, std::string_view path,
                            std::string_view body, int64_t now_ms);
bool VerifyPeerMessage(std::string_view secret, std::string_view path,
                       std::string_view body, std::string_view header,
                       int64_t now_ms);

}  // namespace baobabtray

#endif  // TRAY_WIRE_PEER_WIRE_H_
