// Admin API. See admin.h.

#include "tray/daemon/admin.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "tray/base/hash.h"
#include "tray/base/json.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/config/config_json.h"
#include "tray/wire/caller_api.h"

namespace baobabtray {
namespace {

using nlohmann::json;

constexpr int64_t kMaxConfirmWaitMs = 60'000;

std::string Dump(const json& j) {
  return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

http_response ErrorResponse(int status, std::string_view code,
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

// Parses an edit from a request body. The error is meant for the operator.
absl::StatusOr<edit_request> ParseEditRequest(const json& j) {
  edit_request e;
  try {
    auto kind = ValueOf(kEditKindNames, StringOf(j.at("kind"), "kind"));
    if (!kind)
      return absl::InvalidArgumentError(
          "'kind' must be apply, out, in or rollback");
    e.kind = *kind;
    if (const json* by = FindField(j, "by")) e.author = StringOf(*by, "by");
    if (const json* dry_run = FindField(j, "dry_run"))
      e.dry_run = BoolOf(*dry_run, "dry_run");
    const json* base = FindField(j, "base_revision");
    e.base_revision =
        base == nullptr ? -1 : IntegerOf<int64_t>(*base, "base_revision");
    if (e.kind == edit_kind::kApply) e.text = StringOf(j.at("text"), "text");
    if (e.kind == edit_kind::kOut || e.kind == edit_kind::kIn) {
      auto place =
          ValueOf(kPlaceKindNames, StringOf(j.at("place_kind"), "place_kind"));
      if (!place) {
        return absl::InvalidArgumentError(
            "'place_kind' must be data_centre or server");
      }
      e.target = {*place, StringOf(j.at("place"), "place")};
      e.detail =
          fmt::format("{} {}", NameOf(kPlaceKindNames, *place), e.target.name);
    }
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  if (e.author.empty()) return absl::InvalidArgumentError("'by' is missing");
  return e;
}

json ReportJson(const edit_report& report) {
  const edit_operation& op = report.operation;
  json j = {{"verdict", NameOf(kEditVerdictNames, op.verdict)},
            {"reason", op.reason},
            {"revision", op.revision},
            {"took_ms", report.elapsed / kMillisecond},
            {"confirmed", report.confirmed},
            {"unconfirmed", report.unconfirmed}};
  if (op.verdict == edit_verdict::kConflict) {
    json since = json::array();
    for (const edit_record& e : op.current.recent_edits) {
      if (e.revision > op.request.base_revision) since.push_back(ToJson(e));
    }
    j["edits_since"] = since;
    j["current_text"] = op.current.text;
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

std::string admin_api::UnreadyReason() const {
  if (context_.state.draining) return "the host is shutting down";
  if (config_manager_.current().revision == 0) {
    return config_manager_.store_available()
               ? "no configuration has been applied yet"
               : "no configuration received from the store or a peer";
  }
  std::lock_guard lock(context_.state.mutex);
  if (SteadyNow() >= context_.state.routing.backends.shares_settled_at)
    return "";
  return "waiting for the shares of backend servers to take effect";
}

void admin_api::Handle(const http_request& r, responder respond) {
  if (r.path == "/live") return respond({.body = R"({"live":true})"});
  if (r.path == "/ready") {
    std::string reason = UnreadyReason();
    return respond(
        {.status = reason.empty() ? 200 : 503,
         .body = Dump({{"ready", reason.empty()}, {"reason", reason}})});
  }
  if (r.path == "/metrics") {
    return respond({.body = context_.state.counters.Render(),
                    .content_type = "text/plain; version=0.0.4"});
  }
  if (!Authorised(r)) {
    return respond(ErrorResponse(
        401, "unauthorised", "a valid token is required; see --token-file"));
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
  respond(ErrorResponse(404, "not_found", "unknown path"));
}

std::string admin_api::Config() const {
  const config& c = config_manager_.current();
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
  std::lock_guard lock(context_.state.mutex);
  const fleet& f = context_.state.routing.backends;
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
               {"ready", context_.state.draining ? "draining" : "see /ready"},
               {"revision", config_manager_.current().revision},
               {"source", NameOf(kConfigSourceNames, config_manager_.source())},
               {"store_answers", config_manager_.store_available()},
               {"problem", config_manager_.last_error()},
               {"out", ToJson(config_manager_.current().out_of_service)},
               {"hosts", hosts},
               {"queries_in_hand", context_.state.admission.active_queries},
               {"shards_waiting", context_.state.routing.waiting.size},
               {"services", services},
               {"now_us", now}});
}

std::string admin_api::State() const {
  micros now = SteadyNow();
  json j = json::parse(Status());
  j["watches_store"] = config_manager_.is_watcher();
  std::lock_guard lock(context_.state.mutex);
  const routing_state& r = context_.state.routing;
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
  json j = ParseJson(r.body);
  if (!j.is_object()) {
    return respond(
        ErrorResponse(400, "bad_request", "the body must be a JSON object"));
  }
  absl::StatusOr<edit_request> request = ParseEditRequest(j);
  if (!request.ok()) {
    return respond(
        ErrorResponse(400, "bad_request", MessageOf(request.status())));
  }
  request->id = NewRequestId(&context_.random);
  request->at_ms = WallNowMs();
  int64_t wait_ms = 5000, rollback_to = 0;
  if (j.contains("wait_ms") && j["wait_ms"].is_number_integer()) {
    wait_ms = std::clamp<int64_t>(j["wait_ms"], 0, kMaxConfirmWaitMs);
  }
  auto submit = [this, wait_ms, respond](edit_request e) {
    if (e.kind == edit_kind::kApply || e.kind == edit_kind::kRollback) {
      absl::StatusOr<service_topology> parsed = ParseTopology(e.text);
      if (!parsed.ok()) {
        return respond(
            ErrorResponse(400, "invalid_text", MessageOf(parsed.status())));
      }
    }
    Log(log_level::kInfo, "edit",
        {{"kind", std::string(NameOf(kEditKindNames, e.kind))},
         {"by", e.author},
         {"detail", e.detail},
         {"id", e.id}});
    config_manager_.Edit(
        std::move(e), wait_ms * kMillisecond, [respond](edit_report report) {
          const edit_operation& op = report.operation;
          Log(log_level::kInfo, "edit_finished",
              {{"id", op.request.id},
               {"verdict", std::string(NameOf(kEditVerdictNames, op.verdict))},
               {"revision", std::to_string(op.revision)}});
          respond({.status = StatusOf(op.verdict),
                   .body = Dump(ReportJson(report))});
        });
  };
  if (request->kind != edit_kind::kRollback) return submit(*std::move(request));
  if (j.contains("revision") && j["revision"].is_number_integer()) {
    rollback_to = j["revision"];
  }
  request->detail = fmt::format("to revision {}", rollback_to);
  config_manager_.History(
      rollback_to, [submit, respond, rollback_to,
                    e = *std::move(request)](std::string old_text) {
        if (old_text.empty()) {
          return respond(ErrorResponse(
              404, "no_such_revision",
              fmt::format("revision {} is not available", rollback_to)));
        }
        edit_request rollback_request = e;
        rollback_request.text = std::move(old_text);
        submit(std::move(rollback_request));
      });
}

void admin_api::HandleHistory(const http_request& r, responder respond) {
  auto revision = ParseNumber<int64_t>(QueryParameter(r, "revision"));
  if (!revision) {
    return respond(ErrorResponse(400, "bad_request",
                                 "'revision' is missing or not a number"));
  }
  config_manager_.History(*revision, [respond](std::string old_text) {
    if (old_text.empty()) {
      return respond(ErrorResponse(404, "no_such_revision",
                                   "the revision is not available"));
    }
    respond({.body = Dump({{"text", old_text}})});
  });
}

void admin_api::HandleLogLevel(const http_request& r, responder respond) {
  json j = ParseJson(r.body);
  const json* name = j.is_object() ? FindField(j, "level") : nullptr;
  std::optional<log_level> level;
  if (name != nullptr && name->is_string())
    level = ValueOf(kLogLevelNames, name->get<std::string>());
  if (!level) {
    return respond(ErrorResponse(
        400, "bad_request", "'level' must be debug, info, warning or error"));
  }
  SetLogLevel(*level);
  respond({.body = "{}"});
}

}  // namespace baobabtray
