// Reads and prints endpoints. See endpoint.h.

#include "tray/base/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include "tray/base/strings.h"

namespace baobabtray {

std::string ToString(const endpoint& e) {
  return fmt::format("{}:{}", e.host, e.port);
}

absl::StatusOr<endpoint> ParseEndpoint(std::string_view word) {
  size_t colon = word.rfind(':');
  if (colon == std::string_view::npos) {
    return absl::InvalidArgumentError(fmt::format("'{}' is not IP:PORT", word));
  }
  std::string host(word.substr(0, colon));
  std::optional<uint16_t> port = ParseNumber<uint16_t>(word.substr(colon + 1));
  in_addr number;
  if (inet_pton(AF_INET, host.c_str(), &number) != 1 || port.value_or(0) == 0) {
    return absl::InvalidArgumentError(fmt::format("'{}' is not IP:PORT", word));
  }
  return endpoint{host, *port};
}

}  // namespace baobabtray
