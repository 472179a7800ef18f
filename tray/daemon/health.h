// Reads the health endpoints of the backend servers that this host owns a share
// of: index versions, which replies do not list, and signs of life from servers
// that get no requests. What health says is never trusted over replies.
//
// At most kMaxHealthPerSecond reads a second, whatever the text holds. Each
// server is read every kHealthPeriod, and at once when a reply named an unknown
// version or when nothing is known of it.

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
  explicit health_poller(const control_context& c) : c_(c) {}
  void Start() { Tick(); }
  // Takes in a report that a traffic thread has read.
  void Take(const std::string& server, const std::string& body);

 private:
  // A due read and the traffic thread that has the server's connections.
  struct poll {
    int worker = 0;
    health_read read;
  };
  void Tick();
  std::vector<poll> Due(micros now);

  control_context c_;
  std::unordered_map<std::string, micros> read_at_;  // by server
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_HEALTH_H_
