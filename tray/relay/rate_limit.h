// Keeps the rate limit that a server names for all hosts together, without
// coordination between the hosts. No I/O and no clock.
//
//   NameLimit(&limit, 45.5, now);  // a reply names it
//   SetShare(&limit, ShareOf(45.5, server, server_data_centre, fleet), now);
//   if (MaySend(limit, now)) RecordSend(&limit, now);
//
// Over all hosts and in any kLimitWindow, at most kLimitFactor times the
// requests that the limit allows, plus kLimitSlack, are sent. Limits are
// enforced on a sum of requests of hosts that don't know of each other, so that
// whole requests are what binds: if 84 hosts had a token each, they could send
// 84 requests at once to a server that takes 8 a second.
//
// Therefore a server's limit is divided among its owners, as many as the bound
// leaves room for a burst of at least one request each. Hosts rank as owners by
// rendezvous hashing, those of the server's data centre first, since they send
// most of its requests. Each owner has a token bucket. Other hosts may send
// single requests in turns that are spread over time and lapse if unused, so
// that they learn when the limit ends.
//
// Owners of the server's data centre together have kLocalPart of the limit, the
// others kOtherPart, more than one in sum: rarely do all hosts use their
// shares. A host that the fleet's recorded size includes, but that is not seen,
// counts as an owner that ranks first.

#ifndef TRAY_RELAY_RATE_LIMIT_H_
#define TRAY_RELAY_RATE_LIMIT_H_

#include <map>
#include <optional>
#include <string>

#include "tray/base/time.h"

namespace baobabtray {

constexpr micros kLimitWindow = 4 * kSecond;
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;  // requests

// The hosts, as one of them sees them.
struct fleet_view {
  std::string own;          // name of this host
  std::string data_centre;  // of this host
  std::map<std::string, std::string>
      data_centres;  // of all live hosts, by name
  int recorded = 0;  // size of the fleet on record; 0: none
};

// One host's share of a limit.
struct limit_share {
  double per_second = 0;
  double burst = 0;  // requests at once; 0: not an owner
  // Of a host that is not an owner: interval of its turns, and the time in
  // [0, turn_interval) of its first one after the limit was named.
  micros turn_interval = 0;
  micros turn_offset = 0;
};

limit_share ShareOf(double per_second, const std::string& server,
                    const std::string& server_data_centre,
                    const fleet_view& fleet);

// State of one server's limit at one host.
struct rate_limit {
  std::optional<double> per_second;  // over all hosts; nullopt: none
  micros named_at = 0;               // by the first of the replies that name it
  micros last_named_at = 0;
  int sent = 0;        // requests of this host since named_at
  int sent_extra = 0;  // of these, hedges and retries
  limit_share share;
  double tokens = 0;  // at tokens_at, at most share.burst
  micros tokens_at = 0;
  int64_t last_turn = -1;  // sequence number of the last turn that was used
};

// A reply names the limit.
void NameLimit(rate_limit* limit, double per_second, micros now);
void EndLimit(rate_limit* limit);
void SetShare(rate_limit* limit, const limit_share& share, micros now);
// Whether this host may send the server a request. True without a limit.
bool MaySend(const rate_limit& limit, micros now);
void RecordSend(rate_limit* limit, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAY_RATE_LIMIT_H_
