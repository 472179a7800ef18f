// Structured logs: one JSON object a line on standard error.
//
//   Log(log_level::kInfo, "query", {{"id", id}, {"outcome", "complete"}});
//
// prints {"time":"...","level":"info","event":"query","id":"...",...}. The
// level can be changed while running. Safe from any thread; a line is written
// by one call, so lines never mix.

#ifndef TRAY_LOG_H_
#define TRAY_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "tray/names.h"

namespace baobabtray {

enum class log_level { kDebug, kInfo, kWarning, kError };

constexpr name_table<log_level, 4> kLogLevelNames = {{
    {log_level::kDebug, "debug"},
    {log_level::kInfo, "info"},
    {log_level::kWarning, "warning"},
    {log_level::kError, "error"},
}};

// One named value of a log line. Numbers are formatted by the caller.
struct log_field {
  std::string_view name;
  std::string value;
};

// Lines below `level` are dropped from now on.
void SetLogLevel(log_level level);
log_level GetLogLevel();

// Writes one line if `level` is enabled.
void Log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields = {});

}  // namespace baobabtray

#endif  // TRAY_LOG_H_
