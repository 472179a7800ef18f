// Structured logs: one JSON object a line on standard output.
//
//   Log(log_level::kInfo, "query", {{"id", id}, {"outcome", "complete"}});
//
// prints {"time":"...","level":"info","event":"query","id":"...",...}. The
// level can be changed while running. Safe from any thread; a line is written
// by one call, so lines never mix.
//
// Never blocks and is bounded: a line is dropped if the reader of a pipe is
// behind, or if more than the budget of lines was written in this second. Lines
// below warning may use half of the budget, so that the unusual ones still get
// through. The next line that is written tells in `dropped` how many were lost.

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

// Lines a second at most, unless the settings say otherwise: some 6 KB/s, the
// part of a host's traffic that control may use.
constexpr int kDefaultLogLinesPerSecond = 40;

// One named value of a log line. Numbers are formatted by the caller.
struct log_field {
  std::string_view name;
  std::string value;
};

// Lines below `level` are dropped from now on.
void SetLogLevel(log_level level);
log_level GetLogLevel();

// Sets the budget in lines a second; 0: no bound.
void SetLogRateLimit(int lines_per_second);

// Lines lost so far to the budget or to a slow reader.
uint64_t DroppedLogLines();

// Writes one line if `level` is enabled.
void Log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields = {});

}  // namespace baobabtray

#endif  // TRAY_BASE_LOG_H_
