// JSON and signatures of peer messages. See peer_wire.h.

#include "tray/wire/peer_wire.h"

#include <fmt/format.h>
#include <openssl/hmac.h>

#include <array>
#include <nlohmann/json.hpp>

#include "tray/base/hash.h"
#include "tray/base/strings.h"
#include "tray/wire/backend_wire.h"

namespace baobabtray {
namespace {

using nlohmann::json;

json ToJson(const member& m) {
  return {{"n", m.name},
          {"d", m.data_centre},
          {"p", ToString(m.peer_address)},
          {"i", m.incarnation},
          {"s", NameOf(kMemberStatusNames, m.status)}};
}

member MemberFrom(const json& j) {
  member m;
  j.at("n").get_to(m.name);
  j.at("d").get_to(m.data_centre);
  j.at("i").get_to(m.incarnation);
  auto peers = ParseEndpoint(j.at("p").get<std::string>());
  auto status = ValueOf(kMemberStatusNames, j.at("s").get<std::string>());
  if (!peers.ok() || !status || m.name.empty()) {
    throw json::other_error::create(501, "bad member", &j);
  }
  m.peer_address = *peers;
  m.status = *status;
  return m;
}

json ToJson(const evidence_item& e) {
  json versions = json::array();
  for (const version_report& v : e.versions) {
    versions.push_back({v.version, v.shard_count, v.shards});
  }
  return {{"n", e.server},          {"b", e.stamp.boot},
          {"u", e.stamp.uptime_ms}, {"s", NameOf(kReportedStateNames, e.state)},
          {"c", e.cold_limit},      {"v", versions}};
}

evidence_item EvidenceFrom(const json& j) {
  evidence_item e;
  j.at("n").get_to(e.server);
  j.at("b").get_to(e.stamp.boot);
  j.at("u").get_to(e.stamp.uptime_ms);
  j.at("c").get_to(e.cold_limit);
  auto state = ValueOf(kReportedStateNames, j.at("s").get<std::string>());
  if (!state) throw json::other_error::create(501, "bad state", &j);
  e.state = *state;
  for (const json& v : j.at("v")) {
    version_report report{.version = v.at(0), .shard_count = v.at(1)};
    v.at(2).get_to(report.shards);
    if (!IsSound(report))
      throw json::other_error::create(501, "bad version", &j);
    e.versions.push_back(std::move(report));
  }
  return e;
}

std::string Hmac(std::string_view secret, std::string_view message) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac;
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(),
       mac.data(), &size);
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) hex += fmt::format("{:02x}", mac[i]);
  return hex;
}

}  // namespace

std::string DumpDigest(const digest& d) {
  json changes = json::array(), evidence = json::array();
  for (const member& m : d.changes) changes.push_back(ToJson(m));
  for (const evidence_item& e : d.evidence) evidence.push_back(ToJson(e));
  return json{{"from", ToJson(d.from)},
              {"revision", d.revision},
              {"changes", changes},
              {"evidence", evidence}}
      .dump();
}

absl::StatusOr<digest> ParseDigest(std::string_view text) {
  json j = json::parse(text, nullptr, false);
  digest d;
  try {
    d.from = MemberFrom(j.at("from"));
    j.at("revision").get_to(d.revision);
    for (const json& m : j.at("changes")) d.changes.push_back(MemberFrom(m));
    for (const json& e : j.at("evidence")) {
      d.evidence.push_back(EvidenceFrom(e));
    }
  } catch (const json::exception&) {
    return absl::InvalidArgumentError("not a digest");
  }
  return d;
}

std::string DumpConfigMessage(const config_message& m) {
  json j = {{"meta", DumpConfig(m.meta)}, {"base", m.base}};
  if (m.base == 0) {
    j["whole"] = m.whole;
  } else {
    j["delta"] = {m.delta.base_fingerprint, m.delta.result_fingerprint,
                  m.delta.prefix_bytes, m.delta.suffix_bytes,
                  m.delta.replacement};
  }
  return j.dump();
}

absl::StatusOr<config_message> ParseConfigMessage(std::string_view text) {
  json j = json::parse(text, nullptr, false);
  config_message m;
  try {
    absl::StatusOr<config> meta = ParseConfig(j.at("meta").get<std::string>());
    if (!meta.ok()) return meta.status();
    m.meta = *std::move(meta);
    j.at("base").get_to(m.base);
    if (m.base == 0) {
      j.at("whole").get_to(m.whole);
    } else {
      const json& d = j.at("delta");
      m.delta = {.base_fingerprint = d.at(0),
                 .result_fingerprint = d.at(1),
                 .prefix_bytes = d.at(2),
                 .suffix_bytes = d.at(3),
                 .replacement = d.at(4)};
    }
  } catch (const json::exception&) {
    return absl::InvalidArgumentError("not a configuration message");
  }
  return m;
}

config_message MakeConfigMessage(const config& current, const config* base) {
  config_message m;
  m.meta = current;
  m.meta.text.clear();
  if (base == nullptr || base->revision <= 0) {
    m.whole = current.text;
    return m;
  }
  m.base = base->revision;
  m.delta = DiffTexts(base->text, current.text);
  std::erase_if(m.meta.recent_edits, [&](const edit_record& e) {
    return e.revision <= base->revision;
  });
  return m;
}

std::optional<config> ApplyConfigMessage(config_message m, const config* base) {
  config c = std::move(m.meta);
  if (m.base == 0) {
    c.text = std::move(m.whole);
    return c;
  }
  if (base == nullptr || base->revision != m.base) return std::nullopt;
  std::optional<std::string> text = ApplyDelta(base->text, m.delta);
  if (!text) return std::nullopt;
  c.text = *std::move(text);
  std::vector<edit_record> recent = base->recent_edits;
  recent.insert(recent.end(), c.recent_edits.begin(), c.recent_edits.end());
  if (recent.size() > kMaxRecentEdits) {
    recent.erase(recent.begin(), recent.end() - kMaxRecentEdits);
  }
  c.recent_edits = std::move(recent);
  return c;
}

std::string SignPeerMessage(std::string_view secret, std::string_view path,
                            std::string_view body, int64_t now_ms) {
  if (secret.empty()) return "none";
  std::string message = fmt::format("{}\n{}\n{}", path, now_ms, body);
  return fmt::format("{}.{}", now_ms, Hmac(secret, message));
}

bool VerifyPeerMessage(std::string_view secret, std::string_view path,
                       std::string_view body, std::string_view header,
                       int64_t now_ms) {
  if (secret.empty()) return true;
  size_t dot = header.find('.');
  if (dot == std::string_view::npos) return false;
  std::optional<int64_t> at = ParseNumber<int64_t>(header.substr(0, dot));
  if (!at || std::abs(*at - now_ms) > kMaxClockSkewMs) return false;
  return EqualSecrets(header, SignPeerMessage(secret, path, body, *at));
}

}  // namespace baobabtray
