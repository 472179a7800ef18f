// Polls the health endpoints of the backend servers of which this host owns a
// share. Health reports give the index versions, which replies do not list, and
// show whether servers that get no requests are alive. Replies take precedence
// over health reports.
//
// Reads are limited to kMaxHealthPerSecond regardless of the number of servers.
// Each server is read every kHealthPeriod, or every kUrgentHealthPeriod if its
// versions are unknown, a reply named an unknown version, or it refused a
// connection.

#ifndef TRAY_DAEMON_HEALTH_H_
#define TRAY_DAEMON_HEALTH_H_

#include <string>
#include <unordered_map>

#include "tray/daemon/control.h"
#include "tray/daemon/traffic.h"

namespace baobabtray {

constexpr micros kHealthPeriod = 15 * kSecond;
constexpr micros kUrgentHealthPeriod = 500 * kMillisecond;
constexpr int kMaxHealthPerSecond = 200;

class health_poller {
 public:
  explicit health_poller(const control_context& c) : context_(c) {}
  void Start() { Tick(); }
  // Applies a report that a traffic thread has read.
  void ApplyReport(const std::string& server, const std::string& body);

 private:
  // A due read, and the traffic thread that owns the server's connections.
  struct poll {
    int worker = 0;
    health_read read;
  };
  void Tick();
  std::vector<poll> DuePolls(micros now);

  control_context context_;
  std::unordered_map<std::string, micros> last_read_;  // by server name
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_HEALTH_H_
