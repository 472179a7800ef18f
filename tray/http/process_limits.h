// What a process may hold for its clients, from the limits of its host.
//
//   process_limits l = ProcessLimits(memory_mb, max_descriptors);
//   serve_options options{.max_connections = l.caller_connections};
//   options.account = std::make_shared<byte_account>(l.account_bytes);

#ifndef TRAY_HTTP_PROCESS_LIMITS_H_
#define TRAY_HTTP_PROCESS_LIMITS_H_

#include <cstddef>

namespace baobabtray {

struct process_limits {
  size_t account_bytes = 0;          // for callers
  size_t control_account_bytes = 0;  // for all other clients together
  // Connections that are open at a time. Together they leave descriptors for
  // files and for connections to backend servers and the store.
  size_t caller_connections = 0;
  size_t peer_connections = 0;
  size_t other_connections = 0;  // of any other listener
};

// `max_descriptors` 0: the limit that the system sets for this process.
process_limits ProcessLimits(int memory_mb, int max_descriptors);

}  // namespace baobabtray

#endif  // TRAY_HTTP_PROCESS_LIMITS_H_
