// A relaying host as a whole: one traffic thread and one control thread.

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
  // Returns the store's client, which uses `http` on the control thread and
  // reports the result of each call to `on_call`.
  std::function<directory_store(
      fetcher* http, const endpoint& store,
      std::function<void(std::string_view call, store_status end)> on_call)>
      open_store;
  // Reads the settings file again; called on SIGHUP.
  std::function<absl::StatusOr<settings>()> reload;
};

// Runs the host until a signal has shut it down gracefully. Returns an error if
// a listener can't be opened.
absl::Status RunRelayHost(relay_host_options options);

}  // namespace baobabtray

#endif  // TRAY_RELAYD_RELAY_HOST_H_
