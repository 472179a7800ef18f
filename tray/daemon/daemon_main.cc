// baobabtrayd, the daemon of one entry host.
//
//   baobabtrayd --settings FILE [--check]

#include <fmt/format.h>
#include <malloc.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include "platform/codec.h"
#include "platform/store.h"
#include "tray/base/log.h"
#include "tray/base/run_main.h"
#include "tray/base/strings.h"
#include "tray/daemon/control.h"
#include "tray/daemon/engine.h"
#include "tray/daemon/traffic.h"
#include "tray/relayd/relay_host.h"
#include "tray/text/settings.h"

namespace baobabtray {
namespace {

// Exit codes, as docs/operators/daemon.md lists them.
enum exit_code { kOk = 0, kBadSettings = 2, kCannotStart = 3 };

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) return absl::NotFoundError("can't read '" + path + "'");
  std::stringstream content;
  content << in.rdbuf();
  return content.str();
}

absl::StatusOr<settings> LoadSettings(const std::string& path) {
  absl::StatusOr<std::string> yaml = ReadFile(path);
  if (!yaml.ok()) return yaml.status();
  absl::StatusOr<settings> own = ParseSettings(*yaml);
  if (!own.ok()) return own.status();
  for (const std::string& file :
       {own->admin_token_file, own->peer_secret_file}) {
    if (!file.empty() && !std::ifstream(file)) {
      return absl::NotFoundError("can't read '" + file + "'");
    }
  }
  return own;
}

// Relays callers' requests on the platform.
absl::Status ServePlatform(const settings& own, const std::string& path) {
  return RunRelayHost({.host_settings = own,
                       .codecs = {.callers = platform::CallerCodec(),
                                  .servers = platform::ServerCodec()},
                       .open_store = platform::OpenStore,
                       .reload = [path] { return LoadSettings(path); }});
}

absl::Status Serve(settings own) {
  auto shared = std::make_unique<engine>();
  shared->own = own;
  shared->here = {own.data_centre, own.region};
  std::random_device seed;
  shared->r.random.seed((uint64_t{seed()} << 32) | seed());
  shared->id_prefix = fmt::format("{:016x}", shared->r.random());
  shared->r.replica_choice = own.choice;
  shared->r.hedging = own.hedging;
  if (!own.peer_secret_file.empty()) {
    absl::StatusOr<std::string> secret = ReadFile(own.peer_secret_file);
    if (!secret.ok()) return secret.status();
    shared->peer_secret = secret->substr(0, secret->find('\n'));
    if (shared->peer_secret.empty()) {
      return absl::NotFoundError("the peer secret file is empty");
    }
  }
  std::vector<std::unique_ptr<traffic_worker>> workers;
  for (int i = 0; i < own.threads; ++i) {
    workers.push_back(std::make_unique<traffic_worker>(shared.get(), i));
    shared->workers.push_back(workers.back().get());
  }
  control main(shared.get());
  if (absl::Status s = main.Listen(); !s.ok()) return s;
  for (auto& w : workers) {
    if (absl::Status s = w->Listen(); !s.ok()) return s;
  }
  Log(log_level::kInfo, "started",
      {{"name", own.name},
       {"callers", ToString(own.callers)},
       {"peers", ToString(own.peers)},
       {"admin", ToString(own.admin)},
       {"version", BAOBABTRAY_VERSION}});
  std::vector<std::thread> threads;
  for (auto& w : workers) threads.emplace_back([&w] { w->Run(); });
  main.Run();
  for (auto& w : workers) w->Stop();
  for (std::thread& t : threads) t.join();
  return absl::OkStatus();
}

}  // namespace

int RunProgram(int argc, char** argv) {
  TCLAP::CmdLine cmd("baobabtrayd: the daemon of one entry host", ' ',
                     BAOBABTRAY_VERSION);
  TCLAP::ValueArg<std::string> file("s", "settings", "settings file (YAML)",
                                    true, "", "FILE", cmd);
  TCLAP::SwitchArg check("", "check", "check the settings and exit", cmd);
  cmd.parse(argc, argv);
  absl::StatusOr<settings> own = LoadSettings(file.getValue());
  if (!own.ok()) {
    fmt::print(stderr, "{}:\n{}\n", file.getValue(), MessageOf(own.status()));
    return kBadSettings;
  }
  if (check.getValue()) {
    fmt::print("{}: ok\n", file.getValue());
    return kOk;
  }
  SetLogLevel(own->level);
  SetLogRateLimit(own->log_lines_per_s);
  signal(SIGPIPE, SIG_IGN);
  // libcurl allocates and frees a large buffer for each transfer, upon which
  // glibc sweeps its fast bins. Without them the thread cache still serves.
  mallopt(M_MXFAST, 0);
  absl::Status end = own->interface == interface_mode::kPlatform
                         ? ServePlatform(*own, file.getValue())
                         : Serve(*own);
  if (end.ok()) return kOk;
  Log(log_level::kError, "cannot_start", {{"reason", MessageOf(end)}});
  return kCannotStart;
}

}  // namespace baobabtray

int main(int argc, char** argv) {
  return baobabtray::RunMain(baobabtray::RunProgram, argc, argv, 3);
}
