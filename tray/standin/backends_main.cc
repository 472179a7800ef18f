// Runs all backend servers of an operators' text as stand-ins in one process.
//
//   standin_backends --text FILE --control IP:PORT [--cold] [--service-us N]
//
// The control endpoint takes POST /control with
//   {"match": {"server"|"service"|"data_centre": NAME}, "action": ACTION, ...}
// and answers GET /ledger with what every server really did. Without "match" an
// action goes to all. Actions: kill, restart, restart_cold, turn_cold, silence
// (part), add_version (version, total), remove_version (version), clear, set
// (fields of backend_behaviour).

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

void Set(const json& fields, backend_behaviour* to) {
  auto number = [&](const char* name, auto* field) {
    if (fields.contains(name)) fields.at(name).get_to(*field);
  };
  number("service_us", &to->service_us);
  number("straggle", &to->straggle);
  number("straggle_factor", &to->straggle_factor);
  number("shed", &to->shed);
  number("fail", &to->fail);
  number("reset", &to->reset);
  number("cut", &to->cut);
  number("silent", &to->silent);
  number("crossed", &to->crossed);
  number("mixed", &to->mixed);
  number("doubled", &to->doubled);
  number("warm_after", &to->warm_after);
  number("cold_factor", &to->cold_factor);
  number("health_lag_ms", &to->health_lag_ms);
  number("health_lies", &to->health_lies);
  number("draining", &to->draining);
}

void Apply(const json& command, backend* b) {
  std::string action = command.at("action");
  if (action == "kill") b->Kill();
  if (action == "restart") b->Restart(false);
  if (action == "restart_cold") b->Restart(true);
  if (action == "turn_cold") b->TurnCold();
  if (action == "silence") b->SilenceConnections(command.at("part"));
  if (action == "add_version") {
    b->AddVersion(command.at("version"), command.at("total"));
  }
  if (action == "remove_version") b->RemoveVersion(command.at("version"));
  if (action == "clear") b->ClearLedger();
  if (action == "set") Set(command.at("set"), &b->behaviour);
}

void Control(backend_list* all, const std::shared_ptr<wire_connection>& c,
             const wire_request& r) {
  if (r.path == "/ledger") {
    json ledger = json::array();
    for (const auto& b : *all) ledger.push_back(b->Ledger());
    c->Reply(200, {}, ledger.dump());
    return;
  }
  if (r.path == "/runs") {
    json runs = json::object();
    for (const auto& b : *all) {
      for (const auto& [body, count] : b->ledger().runs) {
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
      Apply(command, b.get());
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
  TCLAP::ValueArg<std::string> text_file("", "text", "operators' text", true,
                                         "", "FILE", cmd);
  TCLAP::ValueArg<std::string> control("", "control", "control address", true,
                                       "", "IP:PORT", cmd);
  TCLAP::ValueArg<int> service_us("", "service-us", "time per request", false,
                                  2000, "N", cmd);
  TCLAP::SwitchArg cold("", "cold", "start cold", cmd);
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
  wire_server control_server(
      loop, address->host, address->port,
      [&all](std::shared_ptr<wire_connection> c, const wire_request& r) {
        Control(&all, c, r);
      });
  control_server.Listen();
  fmt::print(stderr, "{} stand-in backend servers\n", all.size());
  loop.run();
  return 0;
}

}  // namespace baobabtray::standin

int main(int argc, char** argv) {
  return baobabtray::RunMain(baobabtray::standin::RunProgram, argc, argv, 1);
}
