// JSON encoding and signatures of peer messages. See peer_wire.h.

#include "tray/wire/peer_wire.h"

#include <fmt/format.h>
#include <openssl/hmac.h>

#include <array>
#include <nlohmann/json.hpp>

#include "tray/base/hash.h"
#include "tray/base/json.h"
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

member ParseMember(const json& j) {
  member m;
  m.name = StringOf(j.at("n"), "n");
  m.data_centre = StringOf(j.at("d"), "d");
  // Leaves room for higher ones, by which a member contradicts false reports.
  m.incarnation = IntegerOf<uint64_t>(j.at("i"), "i", 0, kMaxIncarnation);
  auto peers = ParseEndpoint(StringOf(j.at("p"), "p"));
  auto status = ValueOf(kMemberStatusNames, StringOf(j.at("s"), "s"));
  if (!peers.ok() || !status || m.name.empty()) {
    throw json::other_error::create(501, "invalid member", &j);
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

evidence_item ParseEvidence(const json& j) {
  evidence_item e;
  e.server = StringOf(j.at("n"), "n");
  e.stamp.boot = IntegerOf<uint64_t>(j.at("b"), "b");
  e.stamp.uptime_ms = IntegerOf<uint64_t>(j.at("u"), "u");
  e.cold_limit = IntegerOf<int>(j.at("c"), "c", 0);
  auto state = ValueOf(kReportedStateNames, StringOf(j.at("s"), "s"));
  if (!state) throw json::other_error::create(501, "unknown state", &j);
  e.state = *state;
  for (const json& v : ArrayOf(j.at("v"), "v")) {
    version_report report = VersionOf(v.at(0), v.at(1), v.at(2));
    if (!IsValidVersionReport(report))
      throw json::other_error::create(501, "invalid version", &j);
    e.versions.push_back(std::move(report));
  }
  return e;
}

std::string HexHmac(std::string_view secret, std::string_view message) {
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
  json j = ParseJson(text);
  digest d;
  try {
    d.from = ParseMember(j.at("from"));
    d.revision = IntegerOf<int64_t>(j.at("revision"), "revision", 0);
    for (const json& m : ArrayOf(j.at("changes"), "changes")) {
      d.changes.push_back(ParseMember(m));
    }
    for (const json& e : ArrayOf(j.at("evidence"), "evidence")) {
      d.evidence.push_back(ParseEvidence(e));
    }
  } catch (const std::exception&) {
    return absl::InvalidArgumentError("digest is malformed");
  }
  return d;
}

int64_t ParseRevision(std::string_view text) {
  json j = ParseJson(text);
  try {
    return IntegerOf<int64_t>(j.at("revision"), "revision", 0);
  } catch (const std::exception&) {
    return -1;
  }
}

std::string DumpConfigMessage(const config_message& m) {
  json j = {{"meta", DumpConfig(m.meta)}, {"base", m.base_revision}};
  if (m.base_revision == 0) {
    j["whole"] = m.full_text;
  } else {
    j["delta"] = {m.delta.base_fingerprint, m.delta.result_fingerprint,
                  m.delta.prefix_bytes, m.delta.suffix_bytes,
                  m.delta.replacement};
  }
  return j.dump();
}

absl::StatusOr<config_message> ParseConfigMessage(std::string_view text) {
  json j = ParseJson(text);
  config_message m;
  try {
    absl::StatusOr<config> meta = ParseConfig(StringOf(j.at("meta"), "meta"));
    if (!meta.ok()) return meta.status();
    m.meta = *std::move(meta);
    m.base_revision = IntegerOf<int64_t>(j.at("base"), "base", 0);
    if (m.base_revision == 0) {
      m.full_text = StringOf(j.at("whole"), "whole");
    } else {
      const json& d = ArrayOf(j.at("delta"), "delta");
      m.delta = {.base_fingerprint = StringOf(d.at(0), "delta"),
                 .result_fingerprint = StringOf(d.at(1), "delta"),
                 .prefix_bytes = IntegerOf<size_t>(d.at(2), "delta"),
                 .suffix_bytes = IntegerOf<size_t>(d.at(3), "delta"),
                 .replacement = StringOf(d.at(4), "delta")};
    }
  } catch (const std::exception&) {
    return absl::InvalidArgumentError("configuration message is malformed");
  }
  return m;
}

config_message MakeConfigMessage(const config& current, const config* base) {
  config_message m;
  m.meta = current;
  m.meta.text.clear();
  if (base == nullptr || base->revision <= 0) {
    m.full_text = current.text;
    return m;
  }
  m.base_revision = base->revision;
  m.delta = DiffTexts(base->text, current.text);
  std::erase_if(m.meta.recent_edits, [&](const edit_record& e) {
    return e.revision <= base->revision;
  });
  return m;
}

std::optional<config> ApplyConfigMessage(config_message m, const config* base) {
  config c = std::move(m.meta);
  if (m.base_revision == 0) {
    c.text = std::move(m.full_text);
    return c;
  }
  if (base == nullptr || base->revision != m.base_revision) return std::nullopt;
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
  return fmt::format("{}.{}", now_ms, HexHmac(secret, message));
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
