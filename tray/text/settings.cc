// Reads a daemon's settings. See settings.h.

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

// Reads a word that must be in `table`.
template <typename E, size_t N>
E ReadWord(doc_map* map, std::string_view key, const name_table<E, N>& table,
           E fallback, doc_errors* errors) {
  const doc_node* at = map->Find(key);
  if (at == nullptr) return fallback;
  std::optional<E> value = ValueOf(table, at->scalar);
  if (value) return *value;
  std::string known;
  for (const auto& [v, name] : table) known += fmt::format(" {}", name);
  errors->Add(*at, fmt::format("'{}' must be one of:{}", key, known));
  return fallback;
}

relay_settings ReadRelay(const doc_node& node, doc_errors* errors) {
  doc_map map(node, "'relay'", errors);
  relay_settings r;
  r.ready = ReadEndpoint(&map, "ready", errors);
  for (const doc_node& item : map.List("places")) {
    doc_map entry(item, "a place", errors);
    r.data_centre_regions.push_back({.data_centre = entry.String("data_centre"),
                                     .region = entry.String("region")});
    entry.RejectUnknownKeys();
  }
  constexpr double kLeastSeconds = 0.1, kMostSeconds = 600;
  auto seconds = [&](std::string_view key, micros fallback) {
    double value = map.Decimal(key, kLeastSeconds, kMostSeconds,
                               static_cast<double>(fallback) / kSecond);
    return static_cast<micros>(value * kSecond);
  };
  r.extra_ratio = map.Fraction("extra_ratio", r.extra_ratio);
  r.extra_floor = static_cast<int>(
      map.Number("extra_floor", {0, 1'000'000}, r.extra_floor));
  r.extra_window = seconds("extra_window_s", r.extra_window);
  r.leave_timeout = seconds("leave_s", r.leave_timeout);
  r.shutdown_grace = seconds("grace_s", r.shutdown_grace);
  map.RejectUnknownKeys();
  return r;
}

bool SamePort(const endpoint& a, const endpoint& b) {
  return a.port != 0 && a.port == b.port && a.host == b.host;
}

void CheckPorts(const settings& s, const doc_node& root, doc_errors* errors) {
  if (SamePort(s.callers, s.peers) || SamePort(s.callers, s.admin) ||
      SamePort(s.peers, s.admin)) {
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
  s.level = ReadWord(&map, "log_level", kLogLevelNames, s.level, &errors);
  s.admin_token_file = map.String("admin_token_file", "");
  s.peer_secret_file = map.String("peer_secret_file", "");
  s.choice =
      ReadWord(&map, "replica_choice", kChoiceModeNames, s.choice, &errors);
  s.hedging = ReadWord(&map, "hedging", kHedgeModeNames, s.hedging, &errors);
  s.drain_ms =
      static_cast<int>(map.Number("drain_ms", {0, 600'000}, s.drain_ms));
  s.log_lines_per_s = static_cast<int>(
      map.Number("log_lines_per_s", {0, 1'000'000}, s.log_lines_per_s));
  s.interface =
      ReadWord(&map, "interface", kInterfaceModeNames, s.interface, &errors);
  const doc_node* relay = map.Find("relay");
  if (s.interface == interface_mode::kPlatform && relay == nullptr) {
    errors.Add(*root, "'interface: platform' needs a 'relay' map");
  }
  if (relay != nullptr) s.relay = ReadRelay(*relay, &errors);
  map.RejectUnknownKeys();
  CheckPorts(s, *root, &errors);
  if (!errors.empty()) return errors.ToStatus();
  return s;
}

}  // namespace baobabtray
