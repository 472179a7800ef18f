// Parser of a daemon's settings. See settings.h.

#include "tray/text/settings.h"

#include <fmt/format.h>

#include <optional>

#include "tray/base/strings.h"
#include "tray/base/yaml_doc.h"

namespace baobabtray {
namespace {

endpoint ReadEndpoint(doc_map* map, std::string_view key, doc_errors* errors) {
  std::string word = map->String(key);
  absl::StatusOr<endpoint> parsed = ParseEndpoint(word);
  if (parsed.ok()) return *parsed;
  if (const doc_node* at = map->Find(key)) {
    errors->Add(*at, fmt::format("'{}': {}", key, MessageOf(parsed.status())));
  }
  return {};
}

// Reads an enum value by its name in `table`.
template <typename E, size_t N>
E ReadEnum(doc_map* map, std::string_view key, const name_table<E, N>& table,
           E fallback, doc_errors* errors) {
  const doc_node* at = map->Find(key);
  if (at == nullptr) return fallback;
  std::optional<E> value = ValueOf(table, at->scalar);
  if (value) return *value;
  std::string allowed;
  for (const auto& [v, name] : table) allowed += fmt::format(" {}", name);
  errors->Add(*at, fmt::format("'{}' must be one of:{}", key, allowed));
  return fallback;
}

micros ReadMaxKeyAge(const doc_node& node, doc_errors* errors) {
  doc_map map(node, "'keys'", errors);
  constexpr double kMinSeconds = 1, kMaxSeconds = 86'400;
  constexpr double kFallback = static_cast<double>(kMaxKeyAge) / kSecond;
  bool strict = map.Bool("strict", false);
  double revoke_s =
      map.Decimal("revoke_s", kMinSeconds, kMaxSeconds, kFallback);
  map.RejectUnknownKeys();
  return strict ? static_cast<micros>(revoke_s * kSecond) : kMaxKeyAge;
}

relay_settings ReadRelaySettings(const doc_node& node, doc_errors* errors) {
  doc_map map(node, "'relay'", errors);
  relay_settings r;
  r.ready = ReadEndpoint(&map, "ready", errors);
  for (const doc_node& item : map.List("places")) {
    doc_map entry(item, "an entry of 'places'", errors);
    r.data_centre_regions.push_back({.data_centre = entry.String("data_centre"),
                                     .region = entry.String("region")});
    entry.RejectUnknownKeys();
  }
  constexpr double kMinSeconds = 0.1, kMaxSeconds = 600;
  auto seconds = [&](std::string_view key, micros fallback) {
    double value = map.Decimal(key, kMinSeconds, kMaxSeconds,
                               static_cast<double>(fallback) / kSecond);
    return static_cast<micros>(value * kSecond);
  };
  r.extra_ratio = map.Fraction("extra_ratio", r.extra_ratio);
  r.extra_floor = static_cast<int>(
      map.Number("extra_floor", {0, 1'000'000}, r.extra_floor));
  r.extra_window = seconds("extra_window_s", r.extra_window);
  r.change_limit = seconds("apply_s", r.change_limit);
  r.leave_timeout = seconds("leave_s", r.leave_timeout);
  r.shutdown_grace = seconds("grace_s", r.shutdown_grace);
  if (const doc_node* keys = map.Find("keys"))
    r.max_key_age = ReadMaxKeyAge(*keys, errors);
  if (const doc_node* quota = map.Find("quota")) {
    doc_map entry(*quota, "'quota'", errors);
    r.quota_window = static_cast<micros>(
        entry.Decimal("window_s", kMinSeconds, kMaxSeconds, 5) * kSecond);
    r.quota_overage = entry.Decimal("overage", 0, 10, 0);
    r.quota_slack = entry.Decimal("slack", 0, 1e6, 0);
    entry.RejectUnknownKeys();
  }
  r.rollout_share = map.Fraction("rollout_share", r.rollout_share);
  r.rollout_slack = static_cast<int>(
      map.Number("rollout_slack", {0, 1'000'000}, r.rollout_slack));
  constexpr double kMaxHold = 10;
  r.new_version_hold = static_cast<micros>(
      map.Decimal("new_version_hold_s", 0, kMaxHold, 0) * kSecond);
  map.RejectUnknownKeys();
  return r;
}

bool SameEndpoint(const endpoint& a, const endpoint& b) {
  return a.port != 0 && a.port == b.port && a.host == b.host;
}

void CheckListeners(const settings& s, const doc_node& root,
                    doc_errors* errors) {
  if (SameEndpoint(s.callers, s.peers) || SameEndpoint(s.callers, s.admin) ||
      SameEndpoint(s.peers, s.admin)) {
    errors->Add(root, "'callers', 'peers' and 'admin' need different ports");
  }
}

}  // namespace

absl::StatusOr<settings> ParseSettings(std::string_view yaml) {
  doc_errors errors;
  std::unique_ptr<doc_node> root = ParseDoc(yaml, &errors);
  if (root == nullptr) return errors.ToStatus();
  doc_map map(*root, "the settings", &errors);
  settings s;
  s.name = map.String("name");
  s.data_centre = map.String("data_centre");
  s.region = map.String("region");
  s.callers = ReadEndpoint(&map, "callers", &errors);
  s.peers = ReadEndpoint(&map, "peers", &errors);
  s.admin = ReadEndpoint(&map, "admin", &errors);
  s.store = ReadEndpoint(&map, "store", &errors);
  for (const std::string& word : map.Strings("seeds")) {
    absl::StatusOr<endpoint> seed = ParseEndpoint(word);
    if (seed.ok()) {
      s.seeds.push_back(*seed);
    } else {
      errors.Add(*map.Find("seeds"), MessageOf(seed.status()));
    }
  }
  s.threads = static_cast<int>(map.Number("threads", {1, 64}, s.threads));
  s.level = ReadEnum(&map, "log_level", kLogLevelNames, s.level, &errors);
  s.admin_token_file = map.String("admin_token_file", "");
  s.peer_secret_file = map.String("peer_secret_file", "");
  s.choice =
      ReadEnum(&map, "replica_choice", kChoiceModeNames, s.choice, &errors);
  s.hedging = ReadEnum(&map, "hedging", kHedgeModeNames, s.hedging, &errors);
  s.drain_ms =
      static_cast<int>(map.Number("drain_ms", {0, 600'000}, s.drain_ms));
  s.memory_mb =
      static_cast<int>(map.Number("memory_mb", {16, 1 << 20}, s.memory_mb));
  s.max_fds = static_cast<int>(map.Number("max_fds", {0, 1 << 20}, s.max_fds));
  s.log_lines_per_s = static_cast<int>(
      map.Number("log_lines_per_s", {0, 1'000'000}, s.log_lines_per_s));
  s.interface =
      ReadEnum(&map, "interface", kInterfaceModeNames, s.interface, &errors);
  const doc_node* relay = map.Find("relay");
  if (s.interface == interface_mode::kPlatform && relay == nullptr) {
    errors.Add(*root, "'interface: platform' needs a 'relay' map");
  }
  if (relay != nullptr) s.relay = ReadRelaySettings(*relay, &errors);
  map.RejectUnknownKeys();
  CheckListeners(s, *root, &errors);
  if (!errors.empty()) return errors.ToStatus();
  return s;
}

}  // namespace baobabtray
