// The administration API: status, state dump, metrics, edits. docs/ADMIN.md is
// its page. Everything but /metrics, /live and /ready needs the token.

#ifndef TRAY_DAEMON_ADMIN_H_
#define TRAY_DAEMON_ADMIN_H_

#include <string>

#include "tray/daemon/control.h"
#include "tray/daemon/keeper.h"
#include "tray/http/serve.h"
#include "tray/members/members.h"

namespace baobabtray {

class admin_api {
 public:
  admin_api(const control_context& c, const membership* members,
            config_keeper* keeper, std::string token)
      : c_(c), members_(*members), keeper_(*keeper), token_(std::move(token)) {}

  void Handle(const http_request& r, responder respond);

  // "" if this host should get queries, else the reason why not.
  std::string NotReady() const;

 private:
  bool Authorised(const http_request& r) const;
  void HandleEdit(const http_request& r, responder respond);
  void HandleHistory(const http_request& r, responder respond);
  void HandleLogLevel(const http_request& r, responder respond);
  std::string Config() const;
  std::string Status() const;
  std::string State() const;

  control_context c_;
  const membership& members_;
  config_keeper& keeper_;
  std::string token_;
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_ADMIN_H_
