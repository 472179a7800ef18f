// Shares, token buckets and turns. See rate_limit.h.

#include "tray/relay/rate_limit.h"

#include <algorithm>
#include <cmath>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

// Parts of the limit that the owners in the server's data centre and the others
// have. A tier without the other has all.
constexpr double kLocalPart = 0.75;
constexpr double kOtherPart = 0.35;
// Part of what the bound leaves beside the shares that is for bursts. The rest
// is for turns.
constexpr double kBurstPart = 0.6;
// A turn that is not used lapses after this time.
constexpr micros kTurnTime = 1 * kSecond;

// Requests that the bound allows in a window, beside those that the shares
// allow in the long run.
double SpareRequests(double per_second) {
  double window = static_cast<double>(kLimitWindow) / kSecond;
  return (kLimitFactor - kLocalPart - kOtherPart) * per_second * window +
         kLimitSlack;
}

// Mean of a random number of turns that exceeds `most` by chance only beyond
// four standard deviations: m + 4 * sqrt(m) = most.
double MeanWithin(double most) {
  double root = std::sqrt(4 + most) - 2;
  return root * root;
}

// A tier of hosts: those of the server's data centre, or the others.
struct tier {
  int hosts = 0;
  int ahead = 0;  // that rank before this host
};

double TokensAt(const rate_limit& limit, micros now) {
  double gained = limit.share.per_second *
                  static_cast<double>(now - limit.tokens_at) / kSecond;
  return std::min(limit.share.burst, limit.tokens + gained);
}

// Sequence number of the turn that lasts at `now`, or -1.
int64_t TurnAt(const rate_limit& limit, micros now) {
  micros since = now - limit.named_at - limit.share.turn_offset;
  if (limit.share.turn_interval <= 0 || since < 0) return -1;
  return since % limit.share.turn_interval < kTurnTime
             ? since / limit.share.turn_interval
             : -1;
}

}  // namespace

limit_share ShareOf(double per_second, const std::string& server,
                    const std::string& server_data_centre,
                    const fleet_view& fleet) {
  uint64_t key = HashOf(server);
  uint64_t own_score = RendezvousScore(key, HashOf(fleet.own));
  tier local, others;
  for (const auto& [name, data_centre] : fleet.data_centres) {
    if (name == fleet.own) continue;
    tier& of = data_centre == server_data_centre ? local : others;
    ++of.hosts;
    if (RendezvousScore(key, HashOf(name)) > own_score) ++of.ahead;
  }
  bool is_local = fleet.data_centre == server_data_centre;
  ++(is_local ? local : others).hosts;
  int unseen = std::max(0, fleet.recorded - local.hosts - others.hosts);
  for (tier* t : {&local, &others}) {
    t->hosts += unseen;
    t->ahead += unseen;
  }
  double spare = SpareRequests(per_second);
  double bursts = kBurstPart * spare;
  int most_owners = std::max(1, static_cast<int>(std::min(bursts, 1e6)));
  int local_owners = std::min(local.hosts, most_owners);
  int other_owners = std::min(others.hosts, most_owners - local_owners);
  int own_tier = is_local ? local_owners : other_owners;
  if ((is_local ? local : others).ahead < own_tier) {
    double part = is_local ? kLocalPart : kOtherPart;
    if (local_owners == 0 || other_owners == 0) part = 1;
    return {.per_second = per_second * part / own_tier,
            .burst = bursts / (local_owners + other_owners)};
  }
  // Turns that touch a window begin in it or up to kTurnTime before.
  double turns = MeanWithin(spare - bursts);
  double hosts = local.hosts + others.hosts;
  auto interval = static_cast<micros>(
      hosts * static_cast<double>(kLimitWindow + kTurnTime) / turns);
  interval = std::max(interval, 2 * kTurnTime);
  double at = NormalizedRendezvousScore(server, fleet.own);
  return {
      .turn_interval = interval,
      .turn_offset = static_cast<micros>(at * static_cast<double>(interval))};
}

void NameLimit(rate_limit* limit, double per_second, micros now) {
  if (!limit->per_second) {
    *limit = {.named_at = now, .tokens = 1, .tokens_at = now};
  }
  limit->per_second = per_second;
  limit->last_named_at = now;
}

void EndLimit(rate_limit* limit) { limit->per_second.reset(); }

void SetShare(rate_limit* limit, const limit_share& share, micros now) {
  limit->tokens = std::min(TokensAt(*limit, now), share.burst);
  if (limit->share.burst == 0) limit->tokens = std::min(1.0, share.burst);
  limit->tokens_at = now;
  limit->share = share;
}

bool MaySend(const rate_limit& limit, micros now) {
  if (!limit.per_second) return true;
  if (limit.share.burst > 0) return TokensAt(limit, now) >= 1;
  int64_t turn = TurnAt(limit, now);
  return turn >= 0 && turn != limit.last_turn;
}

void RecordSend(rate_limit* limit, micros now) {
  if (!limit->per_second) return;
  ++limit->sent;
  limit->tokens = TokensAt(*limit, now) - 1;
  limit->tokens_at = now;
  limit->last_turn = TurnAt(*limit, now);
}

}  // namespace baobabtray
