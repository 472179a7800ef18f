// Health reports. See health.h.

#include "tray/daemon/health.h"

#include <algorithm>

#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/wire/backend_wire.h"

namespace baobabtray {
namespace {

constexpr micros kTick = 50 * kMillisecond;
constexpr size_t kPerTick = kMaxHealthPerSecond * kTick / kSecond;

// Bytes of a request or reply besides the body.
constexpr size_t kHealthHead = 120;

bool IsUrgent(const server_state& s) {
  return s.versions.empty() || s.versions_stale ||
         s.window.phase == window_phase::kHeld;
}

}  // namespace

void health_poller::Tick() {
  for (const poll& p : Due(SteadyNow())) {
    c_.shared.workers[p.worker]->PostHealth(p.read);
  }
  After(c_, kTick, [this] { Tick(); });
}

std::vector<health_poller::poll> health_poller::Due(micros now) {
  std::vector<poll> due;
  std::lock_guard lock(c_.shared.mutex);
  const fleet& f = c_.shared.r.backends;
  if (f.current_view == nullptr) return due;
  for (size_t i = 0; i < f.servers.size() && due.size() < kPerTick; ++i) {
    const server_state& s = f.servers[i];
    if (s.window.owner_rank < 0) continue;
    const backend_server& b = f.current_view->topology->servers[i];
    micros period = IsUrgent(s) ? kUrgentHealthPeriod : kHealthPeriod;
    micros& read_at = read_at_[b.name];
    if (read_at != 0 && now - read_at < period) continue;
    read_at = now;
    uint64_t hash = f.current_view->server_hashes[i];
    due.push_back({static_cast<int>(hash % c_.shared.workers.size()),
                   {b.name, b.address, std::max(1, ConnectionShare(s))}});
  }
  return due;
}

void health_poller::Take(const std::string& server, const std::string& body) {
  c_.shared.counters.AddControlBytes(kHealthHead, body.size() + kHealthHead);
  absl::StatusOr<health_report> h = ParseHealthReport(body);
  if (!h.ok()) {
    Log(log_level::kWarning, "health_unreadable",
        {{"server", server}, {"reason", MessageOf(h.status())}});
    return;
  }
  micros now = SteadyNow();
  std::lock_guard lock(c_.shared.mutex);
  fleet& f = c_.shared.r.backends;
  auto found = f.current_view->topology->server_by_name.find(server);
  if (found == f.current_view->topology->server_by_name.end()) return;
  server_state& s = f.servers[found->second];
  s.last_report_at = now;
  s.connections = std::max(s.connections, 1);
  if (h->report.stamp >= s.versions_stamp) {
    s.versions = std::move(h->versions);
    s.versions_stamp = h->report.stamp;
    s.versions_stale = false;
  }
  OnReport(&s.window, report_source::kHealth, h->report, now);
}

}  // namespace baobabtray
