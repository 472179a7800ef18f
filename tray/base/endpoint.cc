// Parsing and formatting of endpoints. See endpoint.h.

#include "tray/base/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include "tray/base/strings.h"

namespace baobabtray {

std::string ToString(const endpoint& e) {
  return fmt::format("{}:{}", e.host, e.port);
}

absl::StatusOr<endpoint> ParseEndpoint(std::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return absl::InvalidArgumentError(
        fmt::format("'{}' is not an address of the form IP:PORT", text));
  }
  std::string host(text.substr(0, colon));
  std::optional<uint16_t> port = ParseNumber<uint16_t>(text.substr(colon + 1));
  in_addr address;
  if (inet_pton(AF_INET, host.c_str(), &address) != 1 ||
      port.value_or(0) == 0) {
    return absl::InvalidArgumentError(
        fmt::format("'{}' is not an address of the form IP:PORT", text));
  }
  return endpoint{host, *port};
}

}  // namespace baobabtray
