// IPv4 address and port, as written in the settings and the configuration text.

#ifndef TRAY_BASE_ENDPOINT_H_
#define TRAY_BASE_ENDPOINT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace baobabtray {

struct endpoint {
  std::string host;  // IPv4 address in dotted decimal
  uint16_t port = 0;

  friend bool operator==(const endpoint&, const endpoint&) = default;
};

// Formats as "IP:PORT".
std::string ToString(const endpoint& e);

// Parses "IP:PORT", with a port from 1 to 65535.
absl::StatusOr<endpoint> ParseEndpoint(std::string_view text);

}  // namespace baobabtray

#endif  // TRAY_BASE_ENDPOINT_H_
