// Limits of a process. See process_limits.h.

#include "tray/http/process_limits.h"

#include <sys/resource.h>

#include <algorithm>

#include "tray/http/byte_account.h"

namespace baobabtray {
namespace {

// Descriptors that are not used for sockets.
constexpr size_t kFileDescriptors = 200;
constexpr size_t kMaxConnections = 4096;
constexpr size_t kMaxOtherConnections = 64;
constexpr size_t kMaxDescriptors = 1 << 20;
// The part of a process's memory for readiness checks, peers and
// administration.
constexpr size_t kControlAccountDivisor = 8;

size_t Descriptors(int max_descriptors) {
  if (max_descriptors > 0) return static_cast<size_t>(max_descriptors);
  rlimit limit = {};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kMaxConnections;
  return std::min<size_t>(limit.rlim_cur, kMaxDescriptors);
}

}  // namespace

process_limits ProcessLimits(int memory_mb, int max_descriptors) {
  size_t all = Descriptors(max_descriptors);
  size_t sockets = all - std::min(kFileDescriptors, all / 4);
  return {
      .account_bytes = (static_cast<size_t>(memory_mb) << 20) / kAccountDivisor,
      .control_account_bytes =
          (static_cast<size_t>(memory_mb) << 20) / kControlAccountDivisor,
      .caller_connections = std::min(kMaxConnections, sockets * 3 / 5),
      .peer_connections = std::min(kMaxConnections, sockets / 8),
      .other_connections = std::min(kMaxOtherConnections, sockets / 20)};
}

}  // namespace baobabtray
