// Runs the stand-ins for the users' platform in one process: the store, with a
// configuration of one route over shards and two routes to a single service,
// and the backend servers of these routes.
//
//   standin_platform --listen IP:PORT --first-port PORT [--shards N]
//                    [--control IP:PORT] [--text-bytes N]
//
// The routes are http://demo.example/sweep/ over shards, /report/, and /order/,
// which is not idempotent. The control address accepts:
//
//   POST /store?failing=none|busy|reset|silent     fault of the store
//   POST /forget                                   discards the store's history
//   POST /copy                                     keeps a copy of the store
//   POST /back                                     restores it, written again
//                                                  after 1 s
//   POST /server?id=ID&mode=normal|refuse|fail|mute|cut|reset|crossed|
//       no_status                                  response mode of a server
//   POST /entry?id=ID&state=ready|draining|gone    its entry in the store
//   POST /statement?id=ID&leaving=0|1&retry_after=SECONDS&limit=RATE
//                                                  what it states in responses
//   POST /restart?id=ID                            ends these; it is started
//   anew POST /version                                  writes a newer
//   configuration GET /ledger                                    executions by
//   request id, of
//                                                  /report/ and /order/

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>

#include "tray/base/endpoint.h"
#include "tray/base/enum_names.h"
#include "tray/base/run_main.h"
#include "tray/base/strings.h"
#include "tray/standin/platform_server.h"
#include "tray/standin/platform_store.h"

namespace baobabtray::standin {
namespace {

using nlohmann::json;

constexpr int kReplicas = 3;
const char* const kDataCentres[kReplicas] = {"dc-a", "dc-b", "dc-c"};

json RouteJson(const char* name, const char* prefix, int timeout_ms,
               int target_latency_ms) {
  return {{"name", name},
          {"host", "demo.example"},
          {"prefix", prefix},
          {"kind", "idempotent"},
          {"timeout_ms", timeout_ms},
          {"target_latency_ms", target_latency_ms},
          {"priority", 1},
          {"max_attempts", 2},
          {"allowed_regions", json::array()}};
}

json ServiceJson(const std::string& name) {
  return {{"name", name},          {"health_path", "/health"},
          {"max_connections", 50}, {"protocol", "h1"},
          {"tls", false},          {"warmup_s", 3.0},
          {"cold_per_s", 0.0}};
}

json ConfigJson(int shards, int version) {
  json sweep = RouteJson("sweep", "/sweep/", 800, 120);
  json services = json::array({ServiceJson("report")});
  sweep["gather"] = json::array();
  for (int i = 0; i < shards; ++i) {
    std::string name = fmt::format("shard-{}", i);
    sweep["gather"].push_back(name);
    services.push_back(ServiceJson(name));
  }
  sweep["top_k"] = 50;
  sweep["min_part_share"] = 0.89;
  json report = RouteJson("report", "/report/", 2000, 300);
  report["service"] = "report";
  json order = RouteJson("order", "/order/", 2000, 300);
  order["service"] = "report";
  order["kind"] = "non_idempotent";
  return {{"version", version},
          {"routes", json::array({sweep, report, order})},
          {"services", services},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 262144},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

using store_fault = platform_store::fault;
constexpr name_table<store_fault, 4> kStoreFaults = {{
    {store_fault::kNone, "none"},
    {store_fault::kBusy, "busy"},
    {store_fault::kReset, "reset"},
    {store_fault::kNoResponse, "silent"},
}};
using server_mode = platform_server::mode;
constexpr name_table<server_mode, 8> kServerModes = {{
    {server_mode::kNormal, "normal"},
    {server_mode::kRefuse, "refuse"},
    {server_mode::kFail, "fail"},
    {server_mode::kNoResponse, "mute"},
    {server_mode::kTruncate, "cut"},
    {server_mode::kReset, "reset"},
    {server_mode::kWrongId, "crossed"},
    {server_mode::kNoStatus, "no_status"},
}};

struct platform {
  asio::io_context& loop;
  platform_store store;
  std::vector<std::unique_ptr<platform_server>> servers;
  int shards = 0;
  int version = 1;
};

platform_server* FindServer(platform* p, const std::string& id) {
  for (auto& s : p->servers) {
    if (s->options().id == id) return s.get();
  }
  return nullptr;
}

json ExecutionCounts(const platform& p) {
  json all = json::object();
  for (const auto& s : p.servers) {
    // Servers of shards get only idempotent requests, which may run repeatedly.
    if (s->options().returns_records) continue;
    for (const auto& [id, count] : s->execution_counts()) {
      all[id] = all.value(id, 0) + count;
    }
  }
  return all;
}

// Changes a server's response mode or its entry in the store. Returns false if
// the id or the mode is unknown.
bool ChangeServer(platform* p, const test_http_request& r) {
  platform_server* s = FindServer(p, r.QueryParameter("id"));
  if (s == nullptr) return false;
  if (r.path == "/server") {
    auto mode = ValueOf(kServerModes, r.QueryParameter("mode"));
    if (mode) s->response_mode = *mode;
    return mode.has_value();
  }
  if (r.path == "/statement") {
    s->says_leaving = r.QueryParameter("leaving") == "1";
    s->retry_after = r.QueryParameter("retry_after");
    s->rate_limit = r.QueryParameter("limit");
    return true;
  }
  std::string key = "servers/" + s->options().id;
  if (r.path == "/restart") {
    s->Restart();
    p->store.Put(key, s->StoreEntry());
    return true;
  }
  std::string state = r.QueryParameter("state");
  if (state == "gone") {
    p->store.Remove(key);
  } else {
    p->store.Put(key, s->StoreEntry(state == "draining"));
  }
  return true;
}

// Writes an entry that is none, as another writer might leave it.
bool PutOddEntry(platform* p, const test_http_request& r) {
  constexpr size_t kDepth = 100'000;
  constexpr std::string_view kEntry =
      R"({{"service":"report","address":"127.0.0.1:{}","zone":"dc-a",)"
      R"("slots":{},"state":"ready","warmup_left_ms":0}})";
  std::string key = "servers/" + r.QueryParameter("id");
  std::string kind = r.QueryParameter("kind");
  if (kind == "removed") {
    p->store.Remove(key);
  } else if (kind == "deep") {
    p->store.Put(key, std::string(kDepth, '['));
  } else if (kind == "port") {
    p->store.Put(key, fmt::format(kEntry, 99'999, 4));
  } else if (kind == "number") {
    p->store.Put(key, fmt::format(kEntry, 9, "1e300"));
  } else if (kind == "type") {
    p->store.Put(key, fmt::format(kEntry, 9, "true"));
  } else {
    return false;
  }
  return true;
}

// The operator and the servers notice that their writes are lost.
void RewriteLater(platform* p) {
  constexpr std::chrono::seconds kDelay(1);
  auto timer = std::make_shared<asio::steady_timer>(p->loop, kDelay);
  timer->async_wait([p, timer](std::error_code) {
    p->store.Put("op/config", ConfigJson(p->shards, p->version).dump());
    for (const auto& s : p->servers) {
      p->store.Put("servers/" + s->options().id, s->StoreEntry());
    }
  });
}

void HandleControl(platform* p, const std::shared_ptr<test_http_connection>& c,
                   const test_http_request& r) {
  bool known = true;
  if (r.path == "/ledger") return c->Reply(200, {}, ExecutionCounts(*p).dump());
  if (r.path == "/store") {
    auto fault = ValueOf(kStoreFaults, r.QueryParameter("failing"));
    if (fault) p->store.active_fault = *fault;
    known = fault.has_value();
  } else if (r.path == "/forget") {
    p->store.CompactHistory();
  } else if (r.path == "/copy") {
    p->store.SaveCopy();
  } else if (r.path == "/back") {
    p->store.GoBack();
    RewriteLater(p);
  } else if (r.path == "/silence") {
    p->store.SilenceConnections();
  } else if (r.path == "/odd") {
    known = PutOddEntry(p, r);
  } else if (r.path == "/version") {
    p->store.Put("op/config", ConfigJson(p->shards, ++p->version).dump());
  } else {
    known = ChangeServer(p, r);
  }
  c->Reply(known ? 200 : 400, {}, "{}");
}

}  // namespace

int RunProgram(int argc, char** argv) {
  TCLAP::CmdLine cmd("Stand-in for the users' platform", ' ',
                     BAOBABTRAY_VERSION);
  TCLAP::ValueArg<std::string> listen("", "listen", "address of the store",
                                      true, "", "IP:PORT", cmd);
  TCLAP::ValueArg<int> first("", "first-port",
                             "first port of the backend servers", true, 0,
                             "PORT", cmd);
  TCLAP::ValueArg<int> shards("", "shards", "shards of the route /sweep/",
                              false, 10, "N", cmd);
  TCLAP::ValueArg<std::string> control("", "control", "control address", false,
                                       "", "IP:PORT", cmd);
  TCLAP::ValueArg<size_t> text_bytes("", "text-bytes",
                                     "least length of answers of /report/",
                                     false, 0, "N", cmd);
  cmd.parse(argc, argv);
  absl::StatusOr<endpoint> address = ParseEndpoint(listen.getValue());
  if (!address.ok()) {
    fmt::print(stderr, "{}\n", MessageOf(address.status()));
    return 2;
  }
  asio::io_context loop(1);
  platform p{.loop = loop,
             .store = {loop, address->host, address->port},
             .shards = shards.getValue()};
  p.store.era = 1;
  p.store.Listen();
  p.store.Put("op/config", ConfigJson(p.shards, p.version).dump());
  std::unique_ptr<test_http_server> control_server;
  if (!control.getValue().empty()) {
    absl::StatusOr<endpoint> at = ParseEndpoint(control.getValue());
    if (!at.ok()) {
      fmt::print(stderr, "{}\n", MessageOf(at.status()));
      return 2;
    }
    control_server = std::make_unique<test_http_server>(
        loop, at->host, at->port,
        [&p](std::shared_ptr<test_http_connection> c,
             const test_http_request& r) { HandleControl(&p, c, r); });
    control_server->Listen();
  }
  auto& servers = p.servers;
  auto add = [&](const std::string& service, bool returns_records,
                 int work_ms) {
    for (const char* data_centre : kDataCentres) {
      auto port = static_cast<uint16_t>(first.getValue() + servers.size());
      servers.push_back(std::make_unique<platform_server>(
          loop,
          platform_server_options{
              .id = fmt::format("{}-{}", service, data_centre),
              .service = service,
              .data_centre = data_centre,
              .port = port,
              .work_ms = work_ms,
              .pause_ms = returns_records ? 150 : 0,
              .returns_records = returns_records,
              .text_bytes = returns_records ? 0 : text_bytes.getValue()}));
      servers.back()->Listen();
      p.store.Put("servers/" + servers.back()->options().id,
                  servers.back()->StoreEntry());
    }
  };
  for (int i = 0; i < p.shards; ++i) {
    add(fmt::format("shard-{}", i), true, 5);
  }
  add("report", false, 40);
  fmt::print(stderr, "{} stand-in backend servers\n", servers.size());
  loop.run();
  return 0;
}

}  // namespace baobabtray::standin

int main(int argc, char** argv) {
  return baobabtray::RunMain(baobabtray::standin::RunProgram, argc, argv, 3);
}
