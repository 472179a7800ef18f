// From whom a host learns the next changes of the store: from the store, or
// from a hub of its data centre (hub_selection.h). No I/O and no clock.
//
//   change_source source{.timing = TimingFor(change_limit)};
//   source_step step = NextStep(&source, live, own, now);
//   // Ask step.hub, or the store if null; allow step.limit, then report:
//   OnStoreAnswer(&source, ProvenTime(...));
//   OnStoreFailure(&source, own, asked_at, now);
//   OnHubAnswer(&source, step.hub->name, as_of, now);
//   OnHubFailure(&source, step.hub->name, now);
//
// Every host knows a time `as_of` such that all changes that the store made
// before it are known. An answer of the store proves this for the moment at
// which the store was asked; that the store answers other calls proves nothing.
// A hub passes its time on, and a follower can't end up with a later one. The
// time thus stays true through chains and loops of hosts, lost requests,
// answers that arrive late and hosts that freeze.
//
// A change may be learned long after it was made, for example from the second
// host that is asked. What counts from the change, such as the drain period of
// a server that was removed, therefore counts from a lower bound on its time:
// ChangesMadeAfter and StoreChangesMadeAfter. docs/design/time-limits.md adds
// up what follows from it.
//
// A host whose knowledge is older than max_age asks the store itself, whatever
// its hubs do. max_age plus the time limit of that question is less than
// change_limit, so a host that the store answers knows each change in time,
// even if all its hubs fail. See change_source_test.cc.

#ifndef TRAY_RELAYD_CHANGE_SOURCE_H_
#define TRAY_RELAYD_CHANGE_SOURCE_H_

#include <map>
#include <string>

#include "tray/base/time.h"
#include "tray/relay/ports.h"
#include "tray/relayd/hub_selection.h"

namespace baobabtray {

// Time limit of a question that the store is to answer at once.
constexpr micros kStoreAnswerLimit = 800 * kMillisecond;
// A store that is well sends a change within this time to a host that waits for
// it.
constexpr micros kPromptStoreAnswer = 200 * kMillisecond;
// Time allowed for a hub's answer beyond the wait. Both ends are in one data
// centre, and the hub may be busy for some tens of milliseconds.
constexpr micros kHubAnswerLimit = 400 * kMillisecond;
// A newly followed hub whose knowledge is too old has this long to renew it:
// its predecessor's other followers turn to it just as it finds out itself.
constexpr micros kHubPromotionTime = 300 * kMillisecond;
// A host whose question the store did not answer asks again after this time,
// since a single call may fail at a store that is well.
constexpr micros kFirstStoreRetry = 200 * kMillisecond;
// The same after further failures, while hubs can't help it. Up to a quarter is
// added, by the host's name.
constexpr micros kStoreRetryInterval = 2500 * kMillisecond;
// Longest watch of the store. A store that hangs for a moment may never answer
// the watch that was pending, yet it counts as stable five seconds after the
// hang, and by then all changes must be known.
constexpr micros kWatchTimeout = 3500 * kMillisecond;

// Ages of knowledge, in ascending order.
struct source_timing {
  micros hub_refresh = 0;   // a hub asks the store again by then
  micros max_hub_age = 0;   // a hub with older knowledge is left
  micros max_age = 0;       // a host with older knowledge asks the store itself
  micros change_limit = 0;  // a change is known by then
  micros watch_timeout = kWatchTimeout;
};

// `change_limit`: time within which a change is to be known by all hosts that
// can reach the store. Below 2.5 s it leaves no room for the store's answer,
// and counts as 2.5 s. Above 5 s it counts as 5 s, within which hosts must know
// all changes after an outage.
source_timing TimingFor(micros change_limit);

// Shortens watches such that knowledge gets no older than `max_age` while the
// store answers. TimingFor(max_age) does the same for hosts that have hubs.
void LimitWatch(source_timing* timing, micros max_age);

struct change_source {
  source_timing timing;
  hub_choice choice;
  micros as_of = 0;  // all changes made before are known; 0: none
  // The same if the store and the way to it are well, which no answer proves.
  micros prompt_as_of = 0;
  micros store_failed_at = 0;  // when the last unanswered question was asked
  int store_failures = 0;      // in a row
};

// The next question. It asks for changes, to be answered at the first change or
// after `wait`.
struct source_step {
  const registered_host* hub = nullptr;  // null: the store
  micros wait = 0;
  micros limit = 0;  // for the answer, including the wait
};

source_step NextStep(change_source* source,
                     const std::map<std::string, registered_host>& live,
                     const registered_host& own, micros now);

// Time as of which an answer of the store proves its changes to be all. An
// answer without changes was given after the wait, one with changes may have
// been on its way for long.
micros ProvenTime(micros asked_at, micros wait, bool any_changes, micros now);
// Time before which the store has made all its changes that the answer lacks,
// if it sends them promptly; 0 if the answer was late.
micros PromptTime(micros asked_at, micros wait, micros now);

// The changes in an answer that arrives now were made after this time; 0:
// unknown, since nothing was heard from the store for longer than the change
// limit. To be called before the answer is reported.
micros ChangesMadeAfter(const change_source& source, micros now);
// The same for an answer of the store. If it came during the wait, it was sent
// as its first change was made. Only this host may rely on that: it can't tell
// that it was frozen itself.
micros StoreChangesMadeAfter(const change_source& source, micros asked_at,
                             micros wait, micros now);

// `prompt_as_of`: see PromptTime.
void OnStoreAnswer(change_source* source, micros as_of, micros prompt_as_of);
// A question that was asked at `asked_at` was not answered.
void OnStoreFailure(change_source* source, const registered_host& own,
                    micros asked_at, micros now);

// The hub answered, and knows all changes made before `as_of`. Returns whether
// it remains the hub.
bool OnHubAnswer(change_source* source, const std::string& hub, micros as_of,
                 micros now);
void OnHubFailure(change_source* source, const std::string& hub, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAYD_CHANGE_SOURCE_H_
