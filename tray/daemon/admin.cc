// The administration API. See admin.h.

#include "tray/daemon/admin.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "tray/base/hash.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/config/config_json.h"
#include "tray/wire/caller_api.h"

namespace baobabtray {
namespace {

using nlohmann::json;

constexpr int64_t kMaxWaitMs = 60'000;

std::string Dump(const json& j) {
  return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

http_response Problem(int status, std::string_view code,
                      const std::string& message) {
  return {.status = status,
          .body = Dump({{"error", {{"code", code}, {"message", message}}}})};
}

json WindowJson(const server_window& w, micros now) {
  return {{"phase", NameOf(kWindowPhaseNames, w.phase)},
          {"in_flight", w.in_flight},
          {"room", AvailableCapacity(w, now)},
          {"limit", w.limit},
          {"share", w.share},
          {"pending_share", w.pending_share},
          {"owner_rank", w.owner_rank},
          {"owners", w.owner_count},
          {"cold_share", ColdShare(w, now)},
          {"cold_limit", w.cold_limit},
          {"boot", w.stamp.boot},
          {"uptime_ms", w.stamp.uptime_ms},
          {"normal_ms", w.baseline_latency / 1000.0},
          {"held_for_ms", std::max<micros>(0, w.held_until - now) / 1000}};
}

json ServerJson(const fleet& f, size_t i, micros now) {
  const server_state& s = f.servers[i];
  const backend_server& b = f.current_view->topology->servers[i];
  json versions = json::array();
  for (const version_report& v : s.versions) {
    versions.push_back({{"version", v.version},
                        {"total", v.shard_count},
                        {"shards", v.shards}});
  }
  json j = WindowJson(s.window, now);
  j["name"] = b.name;
  j["service"] = f.current_view->topology->services[b.service].name;
  j["data_centre"] = f.current_view->topology->data_centres[b.data_centre].name;
  j["out"] = static_cast<bool>(f.current_view->server_out_of_service[i]);
  j["mean_ms"] = s.mean_latency / 1000.0;
  j["load"] = s.load;
  j["heard_ms_ago"] =
      s.last_report_at == 0 ? -1 : (now - s.last_report_at) / 1000;
  j["versions"] = versions;
  return j;
}

// Reads an edit from the body of a request; the error says what is wrong.
absl::StatusOr<edit> EditFrom(const json& j) {
  edit e;
  try {
    auto kind = ValueOf(kEditKindNames, j.at("kind").get<std::string>());
    if (!kind) return absl::InvalidArgumentError("unknown kind of edit");
    e.kind = *kind;
    e.by = j.value("by", "");
    e.dry_run = j.value("dry_run", false);
    e.base_revision = j.value("base_revision", int64_t{-1});
    if (e.kind == edit_kind::kApply) j.at("text").get_to(e.text);
    if (e.kind == edit_kind::kOut || e.kind == edit_kind::kIn) {
      auto place =
          ValueOf(kPlaceKindNames, j.at("place_kind").get<std::string>());
      if (!place) {
        return absl::InvalidArgumentError(
            "'place_kind' must be data_centre or server");
      }
      e.where = {*place, j.at("place")};
      e.detail =
          fmt::format("{} {}", NameOf(kPlaceKindNames, *place), e.where.name);
    }
  } catch (const json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  if (e.by.empty()) return absl::InvalidArgumentError("'by' is missing");
  return e;
}

json ReportJson(const edit_report& report) {
  const edit_run& run = report.run;
  json j = {{"verdict", NameOf(kEditVerdictNames, run.verdict)},
            {"reason", run.reason},
            {"revision", run.revision},
            {"took_ms", report.took / kMillisecond},
            {"confirmed", report.confirmed},
            {"unconfirmed", report.unconfirmed}};
  if (run.verdict == edit_verdict::kConflict) {
    json since = json::array();
    for (const edit_record& e : run.current.recent_edits) {
      if (e.revision > run.wanted.base_revision) since.push_back(ToJson(e));
    }
    j["edits_since"] = since;
    j["current_text"] = run.current.text;
  }
  return j;
}

int StatusOf(edit_verdict verdict) {
  switch (verdict) {
    case edit_verdict::kAccepted:
    case edit_verdict::kUnchanged:
      return 200;
    case edit_verdict::kConflict:
      return 409;
    case edit_verdict::kRefused:
      return 400;
    case edit_verdict::kNotAccepted:
      return 503;
    case edit_verdict::kUnknown:
      break;
  }
  return 504;
}

}  // namespace

bool admin_api::Authorised(const http_request& r) const {
  constexpr std::string_view kBearer = "Bearer ";
  std::string_view given = HeaderOf(r, "authorization");
  if (token_.empty() || !given.starts_with(kBearer)) return false;
  return EqualSecrets(given.substr(kBearer.size()), token_);
}

std::string admin_api::NotReady() const {
  if (c_.shared.draining) return "this host is shutting down";
  if (keeper_.current().revision == 0) {
    return keeper_.store_answers()
               ? "no configuration has been applied yet"
               : "neither the store nor a peer has given a configuration";
  }
  std::lock_guard lock(c_.shared.mutex);
  if (SteadyNow() >= c_.shared.r.backends.shares_settled_at) return "";
  return "the shares of backend servers are being divided";
}

void admin_api::Handle(const http_request& r, responder respond) {
  if (r.path == "/live") return respond({.body = R"({"live":true})"});
  if (r.path == "/ready") {
    std::string reason = NotReady();
    return respond(
        {.status = reason.empty() ? 200 : 503,
         .body = Dump({{"ready", reason.empty()}, {"reason", reason}})});
  }
  if (r.path == "/metrics") {
    return respond({.body = c_.shared.counters.Render(),
                    .content_type = "text/plain; version=0.0.4"});
  }
  if (!Authorised(r)) {
    return respond(Problem(401, "unauthorised",
                           "a valid token is needed; see --token-file"));
  }
  if (r.path == "/v1/config") return respond({.body = Config()});
  if (r.path == "/v1/status") return respond({.body = Status()});
  if (r.path == "/v1/state") return respond({.body = State()});
  if (r.path == "/v1/history") return HandleHistory(r, std::move(respond));
  if (r.path == "/v1/edit" && r.method == "POST") {
    return HandleEdit(r, std::move(respond));
  }
  if (r.path == "/v1/log_level" && r.method == "POST") {
    return HandleLogLevel(r, std::move(respond));
  }
  respond(Problem(404, "not_found", "there is no such path"));
}

std::string admin_api::Config() const {
  const config& c = keeper_.current();
  json recent = json::array();
  for (const edit_record& e : c.recent_edits) recent.push_back(ToJson(e));
  return Dump({{"revision", c.revision},
               {"text", c.text},
               {"out", ToJson(c.out_of_service)},
               {"recent", recent}});
}

std::string admin_api::Status() const {
  micros now = SteadyNow();
  json hosts = json::array();
  hosts.push_back({{"name", members_.self.name},
                   {"data_centre", members_.self.data_centre},
                   {"status", NameOf(kMemberStatusNames, members_.self.status)},
                   {"peers", ToString(members_.self.peer_address)}});
  for (const auto& [name, k] : members_.others) {
    hosts.push_back({{"name", name},
                     {"data_centre", k.info.data_centre},
                     {"status", NameOf(kMemberStatusNames, k.info.status)},
                     {"peers", ToString(k.info.peer_address)}});
  }
  json services = json::object();
  std::lock_guard lock(c_.shared.mutex);
  const fleet& f = c_.shared.r.backends;
  if (f.current_view != nullptr) {
    for (size_t i = 0; i < f.servers.size(); ++i) {
      const backend_server& b = f.current_view->topology->servers[i];
      std::string phase = f.current_view->server_out_of_service[i]
                              ? "out"
                              : std::string(NameOf(kWindowPhaseNames,
                                                   f.servers[i].window.phase));
      json& counts =
          services[f.current_view->topology->services[b.service].name];
      counts[phase] = counts.is_null() ? 1 : counts.value(phase, 0) + 1;
    }
  }
  return Dump({{"host", members_.self.name},
               {"version", BAOBABTRAY_VERSION},
               {"ready", c_.shared.draining ? "draining" : "see /ready"},
               {"revision", keeper_.current().revision},
               {"source", NameOf(kConfigSourceNames, keeper_.source())},
               {"store_answers", keeper_.store_answers()},
               {"problem", keeper_.problem()},
               {"out", ToJson(keeper_.current().out_of_service)},
               {"hosts", hosts},
               {"queries_in_hand", c_.shared.admission.active_queries},
               {"shards_waiting", c_.shared.r.waiting.size},
               {"services", services},
               {"now_us", now}});
}

std::string admin_api::State() const {
  micros now = SteadyNow();
  json j = json::parse(Status());
  j["watches_store"] = keeper_.is_watcher();
  std::lock_guard lock(c_.shared.mutex);
  const routing_state& r = c_.shared.r;
  j["replica_choice"] = NameOf(kChoiceModeNames, r.replica_choice);
  j["hedging"] = NameOf(kHedgeModeNames, r.hedging);
  j["retry_tokens"] = r.retry_budget.tokens;
  json servers = json::array(), services = json::array();
  if (r.backends.current_view != nullptr) {
    const service_topology& t = *r.backends.current_view->topology;
    for (size_t i = 0; i < r.backends.servers.size(); ++i) {
      servers.push_back(ServerJson(r.backends, i, now));
    }
    for (size_t i = 0; i < t.services.size(); ++i) {
      const service_state& s = r.backends.services[i];
      services.push_back({{"name", t.services[i].name},
                          {"median_ms", s.latency.median / 1000.0},
                          {"p95_ms", s.latency.p95 / 1000.0},
                          {"hedge_tokens", s.hedge_budget.tokens}});
    }
  }
  j["servers"] = servers;
  j["service_latency"] = services;
  return Dump(j);
}

void admin_api::HandleEdit(const http_request& r, responder respond) {
  json j = json::parse(r.body, nullptr, false);
  if (!j.is_object()) {
    return respond(Problem(400, "bad_request", "the body must be an object"));
  }
  absl::StatusOr<edit> wanted = EditFrom(j);
  if (!wanted.ok()) {
    return respond(Problem(400, "bad_request", MessageOf(wanted.status())));
  }
  wanted->id = NewRequestId(&c_.random);
  wanted->at_ms = WallNowMs();
  int64_t wait_ms = 5000, rollback_to = 0;
  if (j.contains("wait_ms") && j["wait_ms"].is_number_integer()) {
    wait_ms = std::clamp<int64_t>(j["wait_ms"], 0, kMaxWaitMs);
  }
  auto begin = [this, wait_ms, respond](edit e) {
    if (e.kind == edit_kind::kApply || e.kind == edit_kind::kRollback) {
      absl::StatusOr<service_topology> parsed = ParseTopology(e.text);
      if (!parsed.ok()) {
        return respond(
            Problem(400, "invalid_text", MessageOf(parsed.status())));
      }
    }
    Log(log_level::kInfo, "edit",
        {{"kind", std::string(NameOf(kEditKindNames, e.kind))},
         {"by", e.by},
         {"detail", e.detail},
         {"id", e.id}});
    keeper_.Edit(
        std::move(e), wait_ms * kMillisecond, [respond](edit_report report) {
          const edit_run& run = report.run;
          Log(log_level::kInfo, "edit_ended",
              {{"id", run.wanted.id},
               {"verdict", std::string(NameOf(kEditVerdictNames, run.verdict))},
               {"revision", std::to_string(run.revision)}});
          respond({.status = StatusOf(run.verdict),
                   .body = Dump(ReportJson(report))});
        });
  };
  if (wanted->kind != edit_kind::kRollback) return begin(*std::move(wanted));
  if (j.contains("revision") && j["revision"].is_number_integer()) {
    rollback_to = j["revision"];
  }
  wanted->detail = fmt::format("to revision {}", rollback_to);
  keeper_.History(rollback_to, [begin, respond, rollback_to,
                                e = *std::move(wanted)](std::string old) {
    if (old.empty()) {
      return respond(
          Problem(404, "no_such_revision",
                  fmt::format("revision {} is not kept", rollback_to)));
    }
    edit with_text = e;
    with_text.text = std::move(old);
    begin(std::move(with_text));
  });
}

void admin_api::HandleHistory(const http_request& r, responder respond) {
  auto revision = ParseNumber<int64_t>(QueryParameter(r, "revision"));
  if (!revision) {
    return respond(Problem(400, "bad_request", "'revision' is missing"));
  }
  keeper_.History(*revision, [respond](std::string old) {
    if (old.empty()) {
      return respond(Problem(404, "no_such_revision", "it is not kept"));
    }
    respond({.body = Dump({{"text", old}})});
  });
}

void admin_api::HandleLogLevel(const http_request& r, responder respond) {
  json j = json::parse(r.body, nullptr, false);
  std::string word = j.is_object() ? j.value("level", "") : "";
  auto level = ValueOf(kLogLevelNames, word);
  if (!level) {
    return respond(Problem(400, "bad_request",
                           "'level' must be debug, info, warning or error"));
  }
  SetLogLevel(*level);
  respond({.body = "{}"});
}

}  // namespace baobabtray
