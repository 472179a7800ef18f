// Messages between hosts of the tier: JSON bodies, signed with a shared secret.
//
// A message carries an HMAC-SHA256 over its path, time and body. A message that
// is malformed, has a wrong signature or is too old is rejected as a whole and
// logged. The size of bodies is limited by the HTTP server.

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

// Messages whose time differs by more from the local wall clock are rejected.
constexpr int64_t kMaxClockSkewMs = 300'000;
constexpr std::string_view kPeerAuthHeader = "X-Peer-Auth";
// Evidence items in one digest, at most.
constexpr size_t kMaxEvidencePerDigest = 24;

// State of one backend server as one host last saw it in replies.
struct evidence_item {
  std::string server;
  report_stamp stamp;
  reported_state state = reported_state::kReady;
  int cold_limit = 0;
  std::vector<version_report> versions;
};

// A gossip message: changes of membership, and evidence about backend servers.
struct digest {
  member from;
  int64_t revision = 0;  // of the configuration in force at the sender
  std::vector<member> changes;
  std::vector<evidence_item> evidence;
};

std::string DumpDigest(const digest& d);
absl::StatusOr<digest> ParseDigest(std::string_view json);

// The revision in a peer's answer to /peer/revision; -1 if it can't be read.
int64_t ParseRevision(std::string_view text);

// A configuration sent to a peer: its full text, or a delta to a base revision.
struct config_message {
  config meta;  // without text; only the recent edits after the base
  int64_t base_revision = 0;  // 0: `full_text` is set, else `delta`
  text_delta delta;
  std::string full_text;
};

std::string DumpConfigMessage(const config_message& m);
absl::StatusOr<config_message> ParseConfigMessage(std::string_view json);

// Builds the message for a peer that has the configuration `base`, or null if
// that is unknown or not usable as a base.
config_message MakeConfigMessage(const config& current, const config* base);

// Reconstructs the configuration from `m`. Returns nullopt if `m` is a delta to
// anything but `base`.
std::optional<config> ApplyConfigMessage(config_message m, const config* base);

// Computes and verifies the value of kPeerAuthHeader for a message. An empty
// secret disables both: nothing is signed and every message is accepted.
std::string SignPeerMessage(std::string_view secret, std::string_view path,
                            std::string_view body, int64_t now_ms);
bool VerifyPeerMessage(std::string_view secret, std::string_view path,
                       std::string_view body, std::string_view header,
                       int64_t now_ms);

}  // namespace baobabtray

#endif  // TRAY_WIRE_PEER_WIRE_H_
