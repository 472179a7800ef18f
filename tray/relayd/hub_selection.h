// Selection of the host that watches the store for others of its data centre.
// No I/O and no clock.
//
//   hub_choice choice;
//   const registered_host* hub = SelectHub(live, own, choice, now);
//   AvoidHub(&choice, hub->name, now);   // it failed; the next one is selected
//
// Every host needs all changes of the store. If each of the dozens of hosts of
// a data centre watched the store, each change would be read dozens of times,
// and every read is charged and counts towards the store's rate limit.
// Therefore one host in kHostsPerHub, the hub, watches the store for the
// others.
//
// Hosts rank all hosts of their data centre in the same order. A host that
// finds its hub failing avoids it for a while and follows the next one, which
// finds the same and watches the store. A hub that can't reach the store avoids
// itself, and follows another host that can. When hosts leave a hub, and when
// they ask the store themselves, follows from the age of what they know
// (change_source.h).

#ifndef TRAY_RELAYD_HUB_SELECTION_H_
#define TRAY_RELAYD_HUB_SELECTION_H_

#include <cstddef>
#include <map>
#include <string>

#include "tray/base/time.h"
#include "tray/relay/ports.h"

namespace baobabtray {

// In smaller data centres every host watches the store: the few calls saved do
// not justify depending on one more host.
constexpr size_t kMinHostsForHub = 4;
// A hub sends each change to this many hosts. With values of kLargeValue bytes
// that takes 0.8 s of a 20 Mbit/s link; a typical configuration takes a tenth
// of that.
constexpr size_t kHostsPerHub = 32;
// Several times the time in which a hub is found to be useless, so that hosts
// that avoid a hub at different moments do so at the same time.
constexpr micros kAvoidTime = 6 * kSecond;

struct hub_choice {
  std::string hub;       // that is followed; empty: none
  micros following = 0;  // since
  std::map<std::string, micros> avoided_until;
};

// Whether the data centre of `own` has enough hosts for hubs.
bool HasHubs(const std::map<std::string, registered_host>& live,
             const registered_host& own);

// Returns the host that watches the store for `own`, or null if `own` watches
// it itself. `live` holds all live hosts by name; hosts with the same view of
// `live` that avoid the same hosts select the same hubs.
const registered_host* SelectHub(
    const std::map<std::string, registered_host>& live,
    const registered_host& own, const hub_choice& choice, micros now);

// To be called when the host starts to follow a hub, or none.
void FollowHub(hub_choice* choice, const std::string& hub, micros now);

void AvoidHub(hub_choice* choice, const std::string& hub, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAYD_HUB_SELECTION_H_
