// Changes of the store passed from one host to others of its data centre, over
// HTTP between hosts: GET /changes?after=REVISION&wait_ms=N.
//
// The answer comes as soon as there is a change after REVISION or the wait is
// over. It says how long ago the sender last heard from the store; a sender
// that does not read the store itself answers 409, one whose log does not reach
// back to REVISION 410. A value larger than kLargeValue is left out and is read
// from the store by key, so that one large change does not fill the sender's
// link.

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

constexpr size_t kLargeValue = 64 << 10;

// Changes as one host sends them to another.
struct change_batch {
  std::vector<stored_item> items;
  std::vector<std::string> large;  // keys of items whose value is left out
  uint64_t revision = 0;           // changes up to here are known
  micros age = 0;                  // since the sender heard from the store
};

std::string EncodeChanges(const change_batch& batch);
absl::StatusOr<change_batch> DecodeChanges(const std::string& json);

// Asks `hub` for changes. `done` is called once, never from within the call.
void RequestChanges(fetcher* http, const endpoint& hub, uint64_t after,
                    micros wait,
                    std::function<void(absl::StatusOr<change_batch>)> done);

// Answers other hosts' questions from this host's log.
class change_feed_server {
 public:
  struct source {
    // Null while this host does not read the store itself.
    std::function<const change_log*()> log;
    std::function<micros()> age;  // since it heard from the store
  };

  change_feed_server(asio::io_context& loop, source from)
      : loop_(loop), from_(std::move(from)) {}

  void Handle(const http_request& r, const responder& respond);
  // The log has grown, or is no longer to be used.
  void Changed();
  // Whether another host has asked lately.
  bool IsAsked(micros now) const;

 private:
  struct question {
    uint64_t after = 0;
    responder respond;
    asio::steady_timer timer;
  };
  using question_ref = std::shared_ptr<question>;
  // Answers if there is something to say, or `over`.
  bool Answer(const question& q, bool over);

  asio::io_context& loop_;
  source from_;
  std::set<question_ref> open_;
  micros asked_at_ = 0;
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_CHANGE_FEED_H_
