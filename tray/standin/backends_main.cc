// Runs stand-ins for all backend servers of a topology file in one process.
//
//   standin_backends --text FILE --control IP:PORT [--cold] [--service-us N]
//
// The control endpoint takes POST /control with
//   {"match": {"server"|"service"|"data_centre": NAME}, "action": ACTION, ...}
// and answers GET /ledger with the statistics of every server and GET /runs
// with the execution counts of non-idempotent requests. Without "match" an
// action applies to all servers. Actions: kill, restart, restart_cold,
// turn_cold, silence (part), add_version (version, total), remove_version
// (version), clear, set (fields of backend_behaviour).

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <asio.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "tray/base/run_main.h"
#include "tray/base/strings.h"
#include "tray/standin/backend.h"

namespace baobabtray::standin {
namespace {

using nlohmann::json;

using backend_list = std::vector<std::unique_ptr<backend>>;

bool Matches(const json& match, const backend& b) {
  for (const auto& [key, value] : match.items()) {
    const std::string& name = key == "server"    ? b.name()
                              : key == "service" ? b.service_name()
                                                 : b.data_centre_name();
    if (value != name) return false;
  }
  return true;
}

void SetBehaviour(const json& fields, backend_behaviour* to) {
  auto set = [&](const char* name, auto* field) {
    if (fields.contains(name)) fields.at(name).get_to(*field);
  };
  set("service_us", &to->service_us);
  set("straggle", &to->straggle);
  set("straggle_factor", &to->straggle_factor);
  set("shed", &to->shed);
  set("fail", &to->fail);
  set("reset", &to->reset);
  set("cut", &to->cut);
  set("silent", &to->silent);
  set("crossed", &to->crossed);
  set("mixed", &to->mixed);
  set("doubled", &to->doubled);
  set("warm_after", &to->warm_after);
  set("cold_factor", &to->cold_factor);
  set("health_lag_ms", &to->health_lag_ms);
  set("health_lies", &to->health_lies);
  set("draining", &to->draining);
}

void RunAction(const json& command, backend* b) {
  std::string action = command.at("action");
  if (action == "kill") b->Kill();
  if (action == "restart") b->Restart(false);
  if (action == "restart_cold") b->Restart(true);
  if (action == "turn_cold") b->TurnCold();
  if (action == "silence") b->StopRespondingOn(command.at("part"));
  if (action == "add_version") {
    b->AddVersion(command.at("version"), command.at("total"));
  }
  if (action == "remove_version") b->RemoveVersion(command.at("version"));
  if (action == "clear") b->ClearStats();
  if (action == "set") SetBehaviour(command.at("set"), &b->behaviour);
}

void HandleControl(backend_list* all,
                   const std::shared_ptr<test_http_connection>& c,
                   const test_http_request& r) {
  if (r.path == "/ledger") {
    json stats = json::array();
    for (const auto& b : *all) stats.push_back(b->StatsJson());
    c->Reply(200, {}, stats.dump());
    return;
  }
  if (r.path == "/runs") {
    json runs = json::object();
    for (const auto& b : *all) {
      for (const auto& [body, count] : b->stats().runs) {
        runs[body] = runs.value(body, 0) + count;
      }
    }
    c->Reply(200, {}, runs.dump());
    return;
  }
  int touched = 0;
  try {
    json command = json::parse(r.body);
    for (const auto& b : *all) {
      if (!Matches(command.value("match", json::object()), *b)) continue;
      RunAction(command, b.get());
      ++touched;
    }
  } catch (const std::exception& e) {
    c->Reply(400, {}, json{{"error", e.what()}}.dump());
    return;
  }
  c->Reply(200, {}, json{{"touched", touched}}.dump());
}

}  // namespace

int RunProgram(int argc, char** argv) {
  TCLAP::CmdLine cmd("Stand-in backend servers", ' ', BAOBABTRAY_VERSION);
  TCLAP::ValueArg<std::string> text_file("", "text", "topology file", true, "",
                                         "FILE", cmd);
  TCLAP::ValueArg<std::string> control("", "control", "control address", true,
                                       "", "IP:PORT", cmd);
  TCLAP::ValueArg<int> service_us("", "service-us", "service time of a request",
                                  false, 2000, "N", cmd);
  TCLAP::SwitchArg cold("", "cold", "start all servers cold", cmd);
  cmd.parse(argc, argv);

  std::ifstream in(text_file.getValue());
  std::stringstream yaml;
  yaml << in.rdbuf();
  absl::StatusOr<service_topology> parsed = ParseTopology(yaml.str());
  absl::StatusOr<endpoint> address = ParseEndpoint(control.getValue());
  if (!parsed.ok() || !address.ok()) {
    fmt::print(stderr, "{}\n",
               MessageOf(parsed.ok() ? address.status() : parsed.status()));
    return 1;
  }
  asio::io_context loop(1);
  backend_list all;
  for (size_t i = 0; i < parsed->servers.size(); ++i) {
    all.push_back(
        std::make_unique<backend>(loop, *parsed, static_cast<int>(i), i + 1));
    all.back()->behaviour.service_us = service_us.getValue();
    all.back()->Start(cold.getValue());
  }
  test_http_server control_server(
      loop, address->host, address->port,
      [&all](std::shared_ptr<test_http_connection> c,
             const test_http_request& r) { HandleControl(&all, c, r); });
  control_server.Listen();
  fmt::print(stderr, "{} stand-in backend servers\n", all.size());
  loop.run();
  return 0;
}

}  // namespace baobabtray::standin

int main(int argc, char** argv) {
  return baobabtray::RunMain(baobabtray::standin::RunProgram, argc, argv, 1);
}
