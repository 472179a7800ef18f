// Admin API: status, state dump, metrics and edits, documented in
// docs/ADMIN.md. All paths except /metrics, /live and /ready require the token.

#ifndef TRAY_DAEMON_ADMIN_H_
#define TRAY_DAEMON_ADMIN_H_

#include <string>

#include "tray/daemon/config_manager.h"
#include "tray/daemon/control.h"
#include "tray/http/serve.h"
#include "tray/members/members.h"

namespace baobabtray {

class admin_api {
 public:
  admin_api(const control_context& c, const membership* members,
            config_manager* manager, std::string token)
      : context_(c),
        members_(*members),
        config_manager_(*manager),
        token_(std::move(token)) {}

  void Handle(const http_request& r, responder respond);

  // Returns the reason why this host is not ready for queries, or "" if it is.
  std::string UnreadyReason() const;

 private:
  bool Authorised(const http_request& r) const;
  void HandleEdit(const http_request& r, responder respond);
  void HandleHistory(const http_request& r, responder respond);
  void HandleLogLevel(const http_request& r, responder respond);
  std::string Config() const;
  std::string Status() const;
  std::string State() const;

  control_context context_;
  const membership& members_;
  config_manager& config_manager_;
  std::string token_;
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_ADMIN_H_
