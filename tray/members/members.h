// Which hosts of the tier are live, at a constant cost per host.
//
// Each round a host exchanges a digest with one random peer. A digest carries
// the sender, a bounded number of recent changes, and answers in kind. A peer
// that does not answer becomes suspect; unless it refutes that within
// kSuspectTime by a higher incarnation it counts as dead. A change is passed on
// a number of times that grows with the logarithm of the fleet. Messages per
// host and second are constant; a change reaches all hosts in a logarithmic
// number of rounds.
//
// The platform's host list and the settings' seeds only say whom to try. A host
// counts as live after direct contact or by another host's word, and stays in
// the division of shares for kShareMemory after its death, so that hosts that
// are cut from each other do not both take over its shares at once.

#ifndef TRAY_MEMBERS_MEMBERS_H_
#define TRAY_MEMBERS_MEMBERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tray/base/endpoint.h"
#include "tray/base/names.h"
#include "tray/base/time.h"
#include "tray/fleet/fleet.h"

namespace baobabtray {

constexpr micros kDigestPeriod = 1 * kSecond;
constexpr micros kSuspectTimeout = 3 * kSecond;
constexpr micros kShareRetention = 5 * kSecond;
constexpr micros kDeadRetention = 120 * kSecond;
constexpr int kMaxChangesPerDigest = 12;

enum class member_status { kLive, kSuspect, kLeaving, kDead };
constexpr name_table<member_status, 4> kMemberStatusNames = {{
    {member_status::kLive, "live"},
    {member_status::kSuspect, "suspect"},
    {member_status::kLeaving, "leaving"},
    {member_status::kDead, "dead"},
}};

// One host, as hosts tell each other about it.
struct member {
  std::string name;
  std::string data_centre;
  endpoint peer_address;
  uint64_t incarnation = 0;  // wall clock at its start, in microseconds
  member_status status = member_status::kLive;
};

struct known_member {
  member info;
  micros since = 0;    // of its status
  int sends_left = 0;  // times this change is still to be passed on
};

struct membership {
  member self;
  std::map<std::string, known_member> others;  // by name
  std::vector<endpoint> seeds;  // settings and the platform's host list
};

// Takes in what somebody says of a host. Returns true if that changed anything.
// A claim that this host itself is not live is refuted by a new incarnation.
bool MergeMember(membership* ms, const member& report, micros now);

// Direct contact with a host, or its absence.
void OnContact(membership* ms, const member& peer, micros now);
void OnNoReply(membership* ms, const std::string& name, micros now);

// Moves suspects to dead and forgets the long dead. Returns true on a change.
bool ExpireMembers(membership* ms, micros now);

// Changes to put into the next digest, fewest left sends last.
std::vector<member> TakePendingChanges(membership* ms);

// The address to exchange the next digest with: mostly a live peer, now and
// then a seed or a dead host, which heals a split. Nothing if this host is
// alone.
std::optional<endpoint> PickPeer(const membership& ms, std::mt19937_64* random);

// Up to `count` distinct live peers at random.
std::vector<member> PickLiveMembers(const membership& ms, int count,
                                    std::mt19937_64* random);

// All live hosts, this one included.
std::vector<member> LiveMembers(const membership& ms);

// Hosts among which shares are divided: live, suspect, or dead only just now.
std::vector<fleet_host> ShareHolders(const membership& ms, micros now);

}  // namespace baobabtray

#endif  // TRAY_MEMBERS_MEMBERS_H_
