// Change feed between the hosts of a data centre, over HTTP:
// GET /changes?after=REVISION&wait_ms=N&large=0&era=N.
//
// A long poll: the response is sent as soon as there is a change after
// REVISION, the sender has heard from the store again, or the wait has expired.
// It states as of when the sender knows all changes, in milliseconds after the
// arrival of the poll, which is not before the receiver sent it. A sender that
// has not listed the store yet answers 409, one whose log does not reach back
// to REVISION 410. Revisions hold within one era of the store (known_items.h):
// a sender that knows a later era than the poll states answers 410 too, so that
// the receiver asks the store, and one that knows an earlier era 409. A value
// larger than kLargeValue is omitted and read from the store by key, so that
// one large change does not saturate the sender's link.

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
  uint64_t era = 0;                // of the store; all revisions are of it
  // All changes made before are included, as a time after the arrival of the
  // poll; negative if before it.
  micros as_of = 0;
};

std::string EncodeChanges(const change_batch& batch, bool send_large);
absl::StatusOr<change_batch> DecodeChanges(const std::string& json);

struct change_poll {
  uint64_t after = 0;  // revision
  micros wait = 0;
  micros limit = 0;  // for the answer, including the wait
  bool send_large = false;
  uint64_t era = 0;
};

// Polls `hub` for changes. `done` is called exactly once, never from within
// RequestChanges. FailedPrecondition: the hub's log does not reach back to
// `after`.
void RequestChanges(fetcher* http, const endpoint& hub, const change_poll& poll,
                    std::function<void(absl::StatusOr<change_batch>)> done);

// Serves this host's change log to other hosts.
class change_feed_server {
 public:
  struct source {
    // Returns null until this host has listed the store.
    std::function<const change_log*()> log;
    // All changes made before this time are in the log.
    std::function<micros()> as_of;
    // Era of the log. Empty: 0.
    std::function<uint64_t()> era;
  };

  change_feed_server(asio::io_context& loop, source from)
      : loop_(loop), source_(std::move(from)) {}

  void Handle(const http_request& r, const responder& respond);
  // To be called after the log or its time has advanced. Answers all polls.
  void NotifyAdvanced();

 private:
  struct pending_poll {
    uint64_t after = 0;
    bool send_large = false;
    uint64_t era = 0;
    micros arrived_at = 0;
    responder respond;
    asio::steady_timer timer;
  };
  uint64_t Era() const { return source_.era ? source_.era() : 0; }
  using poll_ref = std::shared_ptr<pending_poll>;
  // Answers if there are changes or an error to report, or if the poll is not
  // to be held. Returns whether it has answered.
  bool TryAnswer(const pending_poll& poll, bool may_hold);

  asio::io_context& loop_;
  source source_;
  std::set<poll_ref> pending_;
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_CHANGE_FEED_H_
