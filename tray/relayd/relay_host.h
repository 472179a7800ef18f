// A whole relaying host: one traffic thread and one control thread.

#ifndef TRAY_RELAYD_RELAY_HOST_H_
#define TRAY_RELAYD_RELAY_HOST_H_

#include <functional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "tray/relay/ports.h"
#include "tray/relayd/relay_worker.h"
#include "tray/text/settings.h"

namespace baobabtray {

struct relay_host_options {
  settings host_settings;
  relay_codecs codecs;
  // Opens the store on the control thread's client.
  std::function<directory_store(
      fetcher* http, const endpoint& store,
      std::function<void(std::string_view call, store_status end)> on_call)>
      open_store;
  // Reads the settings anew, after SIGHUP or a change of their file.
  std::function<absl::StatusOr<settings>()> reload;
};

// Runs until a signal has ended the host gracefully.
absl::Status RunRelayHost(relay_host_options options);

}  // namespace baobabtray

#endif  // TRAY_RELAYD_RELAY_HOST_H_
