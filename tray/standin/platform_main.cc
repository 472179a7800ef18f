// A whole stand-in platform in one process: the store, with a configuration of
// one route over shards and one route to a single service, and their servers.
//
//   standin_platform --listen IP:PORT --first-port PORT [--shards N]
//                    [--control IP:PORT]
//
// The routes are http://demo.example/sweep/ over shards, /report/, and /order/,
// which is not idempotent. On the control address:
//
//   POST /store?failing=none|busy|reset|silent     how the store answers
//   POST /forget                                   it drops its history
//   POST /server?id=ID&mode=normal|refuse|fail|mute|cut|reset|crossed
//   POST /entry?id=ID&state=ready|draining|gone    what the store says of it
//   POST /version                                  a newer configuration
//   GET /ledger                                    how often each request ran

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <asio.hpp>
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

json Route(const char* name, const char* prefix, int time_limit_ms,
           int aim_ms) {
  return {{"name", name},
          {"host", "demo.example"},
          {"prefix", prefix},
          {"kind", "idempotent"},
          {"timeout_ms", time_limit_ms},
          {"target_latency_ms", aim_ms},
          {"priority", 1},
          {"max_attempts", 2},
          {"allowed_regions", json::array()}};
}

json Service(const std::string& name) {
  return {{"name", name},          {"health_path", "/health"},
          {"max_connections", 50}, {"protocol", "h1"},
          {"tls", false},          {"warmup_s", 3.0},
          {"cold_per_s", 0.0}};
}

json Config(int shards, int version) {
  json sweep = Route("sweep", "/sweep/", 800, 120);
  json services = json::array({Service("report")});
  sweep["gather"] = json::array();
  for (int i = 0; i < shards; ++i) {
    std::string name = fmt::format("shard-{}", i);
    sweep["gather"].push_back(name);
    services.push_back(Service(name));
  }
  sweep["top_k"] = 50;
  sweep["min_part_share"] = 0.89;
  json report = Route("report", "/report/", 2000, 300);
  report["service"] = "report";
  json order = Route("order", "/order/", 2000, 300);
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
    {store_fault::kSilent, "silent"},
}};
using server_mode = platform_server::mode;
constexpr name_table<server_mode, 7> kServerModes = {{
    {server_mode::kNormal, "normal"},
    {server_mode::kRefuse, "refuse"},
    {server_mode::kFail, "fail"},
    {server_mode::kMute, "mute"},
    {server_mode::kCut, "cut"},
    {server_mode::kReset, "reset"},
    {server_mode::kWrongId, "crossed"},
}};

struct platform {
  platform_store store;
  std::vector<std::unique_ptr<platform_server>> servers;
  int shards = 0;
  int version = 1;
};

platform_server* ServerOf(platform* p, const std::string& id) {
  for (auto& s : p->servers) {
    if (s->options().id == id) return s.get();
  }
  return nullptr;
}

json Ledger(const platform& p) {
  json all = json::object();
  for (const auto& s : p.servers) {
    if (s->options().shards) continue;  // may run any number of times
    for (const auto& [id, times] : s->ran()) {
      all[id] = all.value(id, 0) + times;
    }
  }
  return all;
}

// Changes one server's mode or entry; false if the words are wrong.
bool ChangeServer(platform* p, const wire_request& r) {
  platform_server* s = ServerOf(p, r.Field("id"));
  if (s == nullptr) return false;
  if (r.path == "/server") {
    auto mode = ValueOf(kServerModes, r.Field("mode"));
    if (mode) s->answers = *mode;
    return mode.has_value();
  }
  std::string key = "servers/" + s->options().id;
  std::string state = r.Field("state");
  if (state == "gone") {
    p->store.Remove(key);
  } else {
    p->store.Put(key, s->Entry(state == "draining"));
  }
  return true;
}

void Control(platform* p, const std::shared_ptr<wire_connection>& c,
             const wire_request& r) {
  bool known = true;
  if (r.path == "/ledger") return c->Reply(200, {}, Ledger(*p).dump());
  if (r.path == "/store") {
    auto fault = ValueOf(kStoreFaults, r.Field("failing"));
    if (fault) p->store.failing = *fault;
    known = fault.has_value();
  } else if (r.path == "/forget") {
    p->store.ForgetHistory();
  } else if (r.path == "/version") {
    p->store.Put("op/config", Config(p->shards, ++p->version).dump());
  } else {
    known = ChangeServer(p, r);
  }
  c->Reply(known ? 200 : 400, {}, "{}");
}

}  // namespace

int RunProgram(int argc, char** argv) {
  TCLAP::CmdLine cmd("standin_platform: the users' platform, stood in for", ' ',
                     BAOBABTRAY_VERSION);
  TCLAP::ValueArg<std::string> listen("", "listen", "address of the store",
                                      true, "", "IP:PORT", cmd);
  TCLAP::ValueArg<int> first("", "first-port", "of the backend servers", true,
                             0, "PORT", cmd);
  TCLAP::ValueArg<int> shards("", "shards", "of the route /sweep/", false, 10,
                              "N", cmd);
  TCLAP::ValueArg<std::string> control("", "control", "address for faults",
                                       false, "", "IP:PORT", cmd);
  cmd.parse(argc, argv);
  absl::StatusOr<endpoint> address = ParseEndpoint(listen.getValue());
  if (!address.ok()) {
    fmt::print(stderr, "{}\n", MessageOf(address.status()));
    return 2;
  }
  asio::io_context loop(1);
  platform p{.store = {loop, address->host, address->port},
             .shards = shards.getValue()};
  p.store.Listen();
  p.store.Put("op/config", Config(p.shards, p.version).dump());
  std::unique_ptr<wire_server> faults;
  if (!control.getValue().empty()) {
    absl::StatusOr<endpoint> at = ParseEndpoint(control.getValue());
    if (!at.ok()) {
      fmt::print(stderr, "{}\n", MessageOf(at.status()));
      return 2;
    }
    faults = std::make_unique<wire_server>(
        loop, at->host, at->port,
        [&p](std::shared_ptr<wire_connection> c, const wire_request& r) {
          Control(&p, c, r);
        });
    faults->Listen();
  }
  auto& servers = p.servers;
  auto add = [&](const std::string& service, bool with_records, int work_ms) {
    for (const char* data_centre : kDataCentres) {
      auto port = static_cast<uint16_t>(first.getValue() + servers.size());
      servers.push_back(std::make_unique<platform_server>(
          loop, platform_server_options{
                    .id = fmt::format("{}-{}", service, data_centre),
                    .service = service,
                    .data_centre = data_centre,
                    .port = port,
                    .work_ms = work_ms,
                    .pause_ms = with_records ? 150 : 0,
                    .shards = with_records}));
      servers.back()->Listen();
      p.store.Put("servers/" + servers.back()->options().id,
                  servers.back()->Entry());
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
