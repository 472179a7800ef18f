// Change feed between the hosts of a data centre, over HTTP:
// GET /changes?after=REVISION&wait_ms=N.
//
// A long poll: the response is sent as soon as there is a change after REVISION
// or the wait has expired. It states how long ago the sender last had contact
// with the store, and whether it watches the store itself. A sender that has
// not listed the store yet answers 409, one whose log does not reach back to
// REVISION 410. A value larger than
// kLargeValue is omitted and read from the store by key, so that one large
// change does not saturate the sender's link.

#ifndef TRAY_RELAYD_CHANGE_FEED_H_
#define TRAY_RELAYD_CHANGE_FEED_H_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tray/http/fetch.h"
#include "tray/http/serve.h"
#include "tray/relayd/change_log.h"

namespace baobabtray {

constexpr size_t kLargeValue = 64 << 10;  // bytes

// Changes as one host sends them to another.
struct change_batch {
  std::vector<stored_item> items;
  std::vector<std::string> large;  // keys of items whose value is omitted
  uint64_t revision = 0;           // changes up to this revision are included
  micros age = 0;                  // since the sender's last store contact
  bool direct = true;              // the sender watches the store itself
};

std::string EncodeChanges(const change_batch& batch);
absl::StatusOr<change_batch> DecodeChanges(const std::string& json);

// Polls `hub` for changes. `done` is called exactly once, never from within
// RequestChanges. A reply with a status other than 200 gives
// FailedPrecondition.
void RequestChanges(fetcher* http, const endpoint& hub, uint64_t after,
                    micros wait,
                    std::function<void(absl::StatusOr<change_batch>)> done);

// Serves this host's change log to other hosts.
class change_feed_server {
 public:
  struct source {
    // Returns null until this host has listed the store.
    std::function<const change_log*()> log;
    std::function<micros()> age;   // since the last contact with the store
    std::function<bool()> direct;  // whether this host watches the store
  };

  change_feed_server(asio::io_context& loop, source from)
      : loop_(loop), source_(std::move(from)) {}

  void Handle(const http_request& r, const responder& respond);
  // To be called after the log has grown or has become unavailable. Answers the
  // pending polls that this affects.
  void NotifyChanged();
  // True if another host has polled within kFollowerTimeout.
  bool HasFollowers(micros now) const;

 private:
  struct pending_poll {
    uint64_t after = 0;
    responder respond;
    asio::steady_timer timer;
  };
  using poll_ref = std::shared_ptr<pending_poll>;
  // Answers if there are changes or an error to report, or if the wait has
  // `expired`. Returns whether it has answered.
  bool TryAnswer(const pending_poll& poll, bool expired);
  micros HoldTime(micros wait) const;

  asio::io_context& loop_;
  source source_;
  std::set<poll_ref> pending_;
  micros last_poll_ = 0;  // 0: never polled
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_CHANGE_FEED_H_
