// JSON lines on standard error. See log.h.

#include "tray/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace baobabtray {
namespace {

std::atomic<log_level> g_level{log_level::kInfo};

std::string Quoted(std::string_view text) {
  using nlohmann::json;
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

void SetLogLevel(log_level level) { g_level = level; }

log_level GetLogLevel() { return g_level; }

void Log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields) {
  if (level < g_level.load(std::memory_order_relaxed)) return;
  auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  std::string line =
      fmt::format(R"({{"time":"{:%FT%T}Z","level":"{}","event":{})", now,
                  NameOf(kLogLevelNames, level), Quoted(event));
  for (const log_field& field : fields) {
    line += fmt::format(",\"{}\":{}", field.name, Quoted(field.value));
  }
  line += "}\n";
  fmt::print(stderr, "{}", line);
}

}  // namespace baobabtray
