// A whole stand-in platform in one process: the store, with a configuration of
// one route over shards and one route to a single service, and their servers.
//
//   standin_platform --listen IP:PORT --first-port PORT [--shards N]
//
// The routes are http://demo.example/sweep/ and http://demo.example/report/.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <asio.hpp>
#include <memory>
#include <nlohmann/json.hpp>

#include "tray/base/endpoint.h"
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

json Config(int shards) {
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
  return {{"version", 1},
          {"routes", json::array({sweep, report})},
          {"services", services},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 262144},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
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
  cmd.parse(argc, argv);
  absl::StatusOr<endpoint> address = ParseEndpoint(listen.getValue());
  if (!address.ok()) {
    fmt::print(stderr, "{}\n", MessageOf(address.status()));
    return 2;
  }
  asio::io_context loop(1);
  platform_store store(loop, address->host, address->port);
  store.Listen();
  store.Put("op/config", Config(shards.getValue()).dump());
  std::vector<std::unique_ptr<platform_server>> servers;
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
      store.Put("servers/" + servers.back()->options().id,
                servers.back()->Entry());
    }
  };
  for (int i = 0; i < shards.getValue(); ++i) {
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
