// Gossip membership: which hosts of the tier are live, at constant cost per
// host.
//
// In each round a host exchanges digests with one random peer. A digest carries
// the sender and a bounded number of recent changes; the peer replies with its
// own digest. A peer that does not reply becomes suspect, and is considered
// dead unless it refutes that with a higher incarnation within kSuspectTimeout.
// Each change is forwarded a number of times that grows with the logarithm of
// the fleet's size. The number of messages per host and second is constant, and
// a change reaches all hosts in a logarithmic number of rounds.
//
// The platform's host list and the seeds of the settings only provide addresses
// to try. A host is considered live after direct contact or on another host's
// report. After its death its shares are reserved for kShareRetention, so that
// hosts that lose contact with each other do not both take over the other's
// shares at once.

#ifndef TRAY_MEMBERS_MEMBERS_H_
#define TRAY_MEMBERS_MEMBERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tray/base/endpoint.h"
#include "tray/base/enum_names.h"
#include "tray/base/time.h"
#include "tray/fleet/fleet.h"

namespace baobabtray {

constexpr micros kDigestPeriod = 1 * kSecond;
constexpr micros kSuspectTimeout = 3 * kSecond;
constexpr micros kShareRetention = 5 * kSecond;
// Time after which a host that is leaving counts as dead, and a dead one is
// removed.
constexpr micros kDeadRetention = 120 * kSecond;
constexpr int kMaxChangesPerDigest = 12;
// A higher incarnation is not plausible.
constexpr uint64_t kMaxIncarnation = INT64_MAX;

// In order of precedence among reports about the same incarnation.
enum class member_status { kLive, kSuspect, kLeaving, kDead };
constexpr name_table<member_status, 4> kMemberStatusNames = {{
    {member_status::kLive, "live"},
    {member_status::kSuspect, "suspect"},
    {member_status::kLeaving, "leaving"},
    {member_status::kDead, "dead"},
}};

// A host as reported in digests.
struct member {
  std::string name;
  std::string data_centre;
  endpoint peer_address;
  uint64_t incarnation = 0;  // wall clock at its start, in microseconds
  member_status status = member_status::kLive;
};

struct known_member {
  member info;
  micros since = 0;    // time of the last status change
  int sends_left = 0;  // digests that will still carry this change
};

struct membership {
  member self;
  std::map<std::string, known_member> others;  // by name
  std::vector<endpoint>
      seeds;  // from the settings and the platform's host list
};

// Applies a report about a host. Returns true if it added another host, or
// changed its status or address. A report that this host itself is not live is
// refuted by a higher incarnation.
bool MergeMember(membership* ms, const member& report, micros now);

// Records that a host was contacted directly, or did not reply.
void OnContact(membership* ms, const member& peer, micros now);
void OnNoReply(membership* ms, const std::string& name, micros now);

// Marks hosts dead that were suspect or leaving for too long, and removes those
// that were dead for too long. Returns true if any host was marked dead.
bool ExpireMembers(membership* ms, micros now);

// Returns the changes to put into the next digest: those that were sent least
// often.
std::vector<member> TakePendingChanges(membership* ms);

// Returns the address for the next digest exchange: usually a live peer,
// occasionally a seed or a dead host, which heals network partitions. Returns
// nothing if no other host is known.
std::optional<endpoint> PickPeer(const membership& ms, std::mt19937_64* random);

// Returns up to `count` distinct live peers at random.
std::vector<member> PickLiveMembers(const membership& ms, int count,
                                    std::mt19937_64* random);

// Returns all live hosts, including this one.
std::vector<member> LiveMembers(const membership& ms);

// Returns the hosts that share the traffic: those that are live or suspect, or
// that changed status less than kShareRetention ago.
std::vector<fleet_host> ShareHolders(const membership& ms, micros now);

}  // namespace baobabtray

#endif  // TRAY_MEMBERS_MEMBERS_H_
