// Structured logging: one JSON object per line on standard output.
//
//   Log(log_level::kInfo, "query", {{"id", id}, {"outcome", "complete"}});
//
// prints {"time":"...","level":"info","event":"query","id":"...",...}. The
// level can be changed at run time. Thread-safe; each line is written by one
// system call, so lines of different threads are never interleaved.
//
// Logging never blocks and is rate-limited: a line is dropped if the pipe is
// full or if the limit for the current second is used up. Levels below warning
// may use only half of the limit, so that warnings and errors still get
// through. The next line that is written reports the number of dropped lines in
// `dropped`.

#ifndef TRAY_BASE_LOG_H_
#define TRAY_BASE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "tray/base/enum_names.h"

namespace baobabtray {

enum class log_level { kDebug, kInfo, kWarning, kError };

constexpr name_table<log_level, 4> kLogLevelNames = {{
    {log_level::kDebug, "debug"},
    {log_level::kInfo, "info"},
    {log_level::kWarning, "warning"},
    {log_level::kError, "error"},
}};

// Default rate limit: about 6 KB/s, the share of a host's traffic that is
// available to the control plane.
constexpr int kDefaultLogLinesPerSecond = 40;

// A named value of a log line, logged as a JSON string. Callers format numbers.
struct log_field {
  std::string_view name;
  std::string value;
};

// Suppresses lines below `level`.
void SetLogLevel(log_level level);
log_level GetLogLevel();

// Sets the rate limit; 0 means unlimited.
void SetLogRateLimit(int lines_per_second);

// Number of lines dropped so far by the rate limit, because the pipe was full,
// or because they exceeded PIPE_BUF.
uint64_t DroppedLogLines();

// Writes one line if `level` is enabled and the rate limit permits.
void Log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields = {});

}  // namespace baobabtray

#endif  // TRAY_BASE_LOG_H_
