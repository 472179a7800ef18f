// Checks the status of a reply: a status of HTTP has three digits, 100 to 599.
//
//   status_line_check check;
//   CheckStatusLine(bytes, &check);   // again with the bytes that follow
//   if (check.result == status_check::kInvalid) ...;
//
// Parsers accept other numbers (000, 999, 20, 0200), which a server in trouble
// may send; such a reply is no answer. Neither is 101, since no upgrade is ever
// asked for. Only the part of the line up to the status is looked at.

#ifndef TRAY_HTTP_STATUS_LINE_H_
#define TRAY_HTTP_STATUS_LINE_H_

#include <string_view>

namespace baobabtray {

// Whether a status may end a request, unlike an interim one (1xx).
constexpr bool IsFinalStatus(int status) {
  return status >= 200 && status <= 599;
}

enum class status_check { kReading, kValid, kInvalid };

struct status_line_check {
  status_check result = status_check::kReading;
  int version_bytes = 0;  // of "HTTP/1.1 "
  int digits = 0;
  int status = 0;
};

void CheckStatusLine(std::string_view bytes, status_line_check* check);

}  // namespace baobabtray

#endif  // TRAY_HTTP_STATUS_LINE_H_
