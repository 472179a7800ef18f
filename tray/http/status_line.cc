// Check of a reply's status. See status_line.h.

#include "tray/http/status_line.h"

namespace baobabtray {
namespace {

constexpr int kVersionBytes = 9;  // "HTTP/1.1 "
constexpr int kStatusDigits = 3;
constexpr int kSwitchingProtocols = 101;

bool IsValid(const status_line_check& c) {
  return c.digits == kStatusDigits && c.status >= 100 &&
         c.status != kSwitchingProtocols && c.status <= 599;
}

}  // namespace

void CheckStatusLine(std::string_view bytes, status_line_check* c) {
  for (char b : bytes) {
    if (c->result != status_check::kReading) return;
    if (c->version_bytes < kVersionBytes) {
      // Parsers skip empty lines before the first.
      bool skipped = c->version_bytes == 0 && (b == '\r' || b == '\n');
      c->version_bytes += skipped ? 0 : 1;
    } else if (b >= '0' && b <= '9' && c->digits <= kStatusDigits) {
      ++c->digits;
      c->status = c->status * 10 + (b - '0');
    } else if (b != ' ' || c->digits > 0) {
      bool ends = b == ' ' || b == '\r' || b == '\n';
      c->result =
          ends && IsValid(*c) ? status_check::kValid : status_check::kInvalid;
    }
  }
}

}  // namespace baobabtray
