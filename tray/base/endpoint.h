// An IP number with a port, as settings and the operators' text write it.

#ifndef TRAY_BASE_ENDPOINT_H_
#define TRAY_BASE_ENDPOINT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace baobabtray {

struct endpoint {
  std::string host;  // IPv4 number
  uint16_t port = 0;

  friend bool operator==(const endpoint&, const endpoint&) = default;
};

// "IP:PORT".
std::string ToString(const endpoint& e);

// Reads "IP:PORT"; the port is from 1 to 65535.
absl::StatusOr<endpoint> ParseEndpoint(std::string_view word);

}  // namespace baobabtray

#endif  // TRAY_BASE_ENDPOINT_H_
