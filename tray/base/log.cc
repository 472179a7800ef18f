// JSON log lines on standard output. See log.h.

#include "tray/base/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>

namespace baobabtray {
namespace {

// A pipe that polls as writable accepts this much without blocking (PIPE_BUF).
constexpr size_t kMaxLineBytes = 4096;

std::atomic<log_level> g_level{log_level::kInfo};
std::atomic<uint64_t> g_dropped{0};

// Rate limit over one-second intervals; fields are guarded by `mutex`.
struct line_rate_limit {
  std::mutex mutex;
  int per_second = kDefaultLogLinesPerSecond;
  int64_t second = 0;
  int written = 0;
  uint64_t reported_drops = 0;  // value of g_dropped that was last logged
};

line_rate_limit& RateLimit() {
  static line_rate_limit limiter;
  return limiter;
}

std::string JsonQuoted(std::string_view text) {
  using nlohmann::json;
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

// Counts a line against the limit of the current second. False if the limit is
// used up.
bool AllowLine(line_rate_limit* limiter, log_level level) {
  if (limiter->per_second == 0) return true;
  int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
                       std::chrono::steady_clock::now().time_since_epoch())
                       .count();
  if (second != limiter->second) {
    limiter->second = second;
    limiter->written = 0;
  }
  int limit = level >= log_level::kWarning ? limiter->per_second
                                           : (limiter->per_second + 1) / 2;
  if (limiter->written >= limit) return false;
  ++limiter->written;
  return true;
}

// Writes the line unless that would block. Returns whether it was written.
bool WriteLine(const std::string& line) {
  pollfd out{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
  if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) return false;
  return write(STDOUT_FILENO, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

}  // namespace

void SetLogLevel(log_level level) { g_level = level; }

log_level GetLogLevel() { return g_level; }

void SetLogRateLimit(int lines_per_second) {
  std::lock_guard lock(RateLimit().mutex);
  RateLimit().per_second = lines_per_second;
}

uint64_t DroppedLogLines() { return g_dropped; }

void Log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields) {
  if (level < g_level.load(std::memory_order_relaxed)) return;
  line_rate_limit& limiter = RateLimit();
  std::lock_guard lock(limiter.mutex);
  if (!AllowLine(&limiter, level)) {
    ++g_dropped;
    return;
  }
  auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  std::string line =
      fmt::format(R"({{"time":"{:%FT%T}Z","level":"{}","event":{})", now,
                  NameOf(kLogLevelNames, level), JsonQuoted(event));
  for (const log_field& field : fields) {
    line += fmt::format(",\"{}\":{}", field.name, JsonQuoted(field.value));
  }
  uint64_t dropped = g_dropped;
  if (dropped != limiter.reported_drops) {
    line += fmt::format(",\"dropped\":{}", dropped - limiter.reported_drops);
  }
  line += "}\n";
  if (line.size() > kMaxLineBytes || !WriteLine(line)) {
    ++g_dropped;
    return;
  }
  limiter.reported_drops = dropped;
}

}  // namespace baobabtray
