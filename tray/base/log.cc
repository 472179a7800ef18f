// JSON lines on standard output. See log.h.

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

// A pipe that polls as writable takes this much without blocking (PIPE_BUF).
constexpr size_t kMaxLineBytes = 4096;

std::atomic<log_level> g_level{log_level::kInfo};
std::atomic<uint64_t> g_dropped{0};

// Lines written in the current second; guarded by `mutex`.
struct line_budget {
  std::mutex mutex;
  int per_second = kDefaultLogLinesPerSecond;
  int64_t second = 0;
  int written = 0;
  uint64_t told = 0;  // dropped lines that a line has already reported
};

line_budget& Budget() {
  static line_budget budget;
  return budget;
}

std::string Quoted(std::string_view text) {
  using nlohmann::json;
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

bool MaySpend(line_budget* b, log_level level) {
  if (b->per_second == 0) return true;
  int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
                       std::chrono::steady_clock::now().time_since_epoch())
                       .count();
  if (second != b->second) {
    b->second = second;
    b->written = 0;
  }
  int most =
      level >= log_level::kWarning ? b->per_second : (b->per_second + 1) / 2;
  if (b->written >= most) return false;
  ++b->written;
  return true;
}

// Writes the line if that can't block.
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
  std::lock_guard lock(Budget().mutex);
  Budget().per_second = lines_per_second;
}

uint64_t DroppedLogLines() { return g_dropped; }

void Log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields) {
  if (level < g_level.load(std::memory_order_relaxed)) return;
  line_budget& budget = Budget();
  std::lock_guard lock(budget.mutex);
  if (!MaySpend(&budget, level)) {
    ++g_dropped;
    return;
  }
  auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  std::string line =
      fmt::format(R"({{"time":"{:%FT%T}Z","level":"{}","event":{})", now,
                  NameOf(kLogLevelNames, level), Quoted(event));
  for (const log_field& field : fields) {
    line += fmt::format(",\"{}\":{}", field.name, Quoted(field.value));
  }
  uint64_t dropped = g_dropped;
  if (dropped != budget.told) {
    line += fmt::format(",\"dropped\":{}", dropped - budget.told);
  }
  line += "}\n";
  if (line.size() > kMaxLineBytes || !WriteLine(line)) {
    ++g_dropped;
    return;
  }
  budget.told = dropped;
}

}  // namespace baobabtray
