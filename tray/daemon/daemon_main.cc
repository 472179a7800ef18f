// baobabtrayd, the daemon of an entry host.
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
#include "tray/daemon/daemon_state.h"
#include "tray/daemon/traffic.h"
#include "tray/http/process_limits.h"
#include "tray/relayd/relay_host.h"
#include "tray/text/settings.h"

namespace baobabtray {
namespace {

// Exit codes, documented in docs/operators/daemon.md.
enum exit_code { kOk = 0, kBadSettings = 2, kCannotStart = 3 };

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) return absl::NotFoundError("cannot read '" + path + "'");
  std::stringstream content;
  content << in.rdbuf();
  return content.str();
}

absl::StatusOr<settings> LoadSettings(const std::string& path) {
  absl::StatusOr<std::string> yaml = ReadFile(path);
  if (!yaml.ok()) return yaml.status();
  absl::StatusOr<settings> host_settings = ParseSettings(*yaml);
  if (!host_settings.ok()) return host_settings.status();
  for (const std::string& file :
       {host_settings->admin_token_file, host_settings->peer_secret_file}) {
    if (!file.empty() && !std::ifstream(file)) {
      return absl::NotFoundError("cannot read '" + file + "'");
    }
  }
  return host_settings;
}

// Runs a relay host on the platform's protocol.
absl::Status ServePlatform(const settings& host_settings,
                           const std::string& path) {
  return RunRelayHost({.host_settings = host_settings,
                       .codecs = {.callers = platform::CallerCodec(),
                                  .servers = platform::ServerCodec()},
                       .open_store = platform::OpenStore,
                       .reload = [path] { return LoadSettings(path); }});
}

absl::Status Serve(settings host_settings) {
  auto state = std::make_unique<daemon_state>();
  state->local_settings = host_settings;
  state->account = std::make_shared<byte_account>(
      ProcessLimits(host_settings.memory_mb, host_settings.max_fds)
          .account_bytes);
  state->host_location = {host_settings.data_centre, host_settings.region};
  std::random_device seed;
  state->routing.random.seed((uint64_t{seed()} << 32) | seed());
  state->id_prefix = fmt::format("{:016x}", state->routing.random());
  state->routing.replica_choice = host_settings.choice;
  state->routing.hedging = host_settings.hedging;
  if (!host_settings.peer_secret_file.empty()) {
    absl::StatusOr<std::string> secret =
        ReadFile(host_settings.peer_secret_file);
    if (!secret.ok()) return secret.status();
    state->peer_secret = secret->substr(0, secret->find('\n'));
    if (state->peer_secret.empty()) {
      return absl::NotFoundError("the peer secret file is empty");
    }
  }
  std::vector<std::unique_ptr<traffic_worker>> workers;
  for (int i = 0; i < host_settings.threads; ++i) {
    workers.push_back(std::make_unique<traffic_worker>(state.get(), i));
    state->workers.push_back(workers.back().get());
  }
  control_thread control(state.get());
  if (absl::Status s = control.Listen(); !s.ok()) return s;
  for (auto& w : workers) {
    if (absl::Status s = w->Listen(); !s.ok()) return s;
  }
  Log(log_level::kInfo, "started",
      {{"name", host_settings.name},
       {"callers", ToString(host_settings.callers)},
       {"peers", ToString(host_settings.peers)},
       {"admin", ToString(host_settings.admin)},
       {"version", BAOBABTRAY_VERSION}});
  std::vector<std::thread> threads;
  for (auto& w : workers) threads.emplace_back([&w] { w->Run(); });
  control.Run();
  for (auto& w : workers) w->Stop();
  for (std::thread& t : threads) t.join();
  return absl::OkStatus();
}

}  // namespace

int RunProgram(int argc, char** argv) {
  TCLAP::CmdLine cmd("baobabtrayd: the daemon of an entry host", ' ',
                     BAOBABTRAY_VERSION);
  TCLAP::ValueArg<std::string> file("s", "settings", "settings file (YAML)",
                                    true, "", "FILE", cmd);
  TCLAP::SwitchArg check("", "check", "validate the settings file and exit",
                         cmd);
  cmd.parse(argc, argv);
  absl::StatusOr<settings> host_settings = LoadSettings(file.getValue());
  if (!host_settings.ok()) {
    fmt::print(stderr, "{}:\n{}\n", file.getValue(),
               MessageOf(host_settings.status()));
    return kBadSettings;
  }
  if (check.getValue()) {
    fmt::print("{}: ok\n", file.getValue());
    return kOk;
  }
  SetLogLevel(host_settings->level);
  SetLogRateLimit(host_settings->log_lines_per_s);
  signal(SIGPIPE, SIG_IGN);
  // libcurl allocates and frees a large buffer per transfer, on which glibc
  // consolidates its fast bins. Disable them; the thread cache remains in use.
  mallopt(M_MXFAST, 0);
  absl::Status end = host_settings->interface == interface_mode::kPlatform
                         ? ServePlatform(*host_settings, file.getValue())
                         : Serve(*host_settings);
  if (end.ok()) return kOk;
  Log(log_level::kError, "cannot_start", {{"reason", MessageOf(end)}});
  return kCannotStart;
}

}  // namespace baobabtray

int main(int argc, char** argv) {
  // Until the host handles it: a reload that is requested during the start must
  // not end the process.
  signal(SIGHUP, SIG_IGN);
  return baobabtray::RunMain(baobabtray::RunProgram, argc, argv, 3);
}
