// Choice of the next question. See change_source.h.

#include "tray/relayd/change_source.h"

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

// Fractions of the time limit of a change. The difference between the first two
// covers the way from a hub to its followers. What the last one leaves covers
// kStoreAnswerLimit, and the way of the change to the traffic thread.
constexpr double kHubRefreshFraction = 0.35;
constexpr double kMaxHubAgeFraction = 0.45;
constexpr double kMaxAgeFraction = 0.62;
constexpr micros kMinChangeLimit = 2500 * kMillisecond;
constexpr micros kMaxChangeLimit = 5 * kSecond;
// Shortest wait of a question that is repeated.
constexpr micros kMinWait = 100 * kMillisecond;

micros Fraction(micros time, double fraction) {
  return static_cast<micros>(static_cast<double>(time) * fraction);
}

micros StoreRetryInterval(const change_source& source,
                          const registered_host& own) {
  if (source.store_failures <= 1) return kFirstStoreRetry;
  constexpr micros kSpread = kStoreRetryInterval / 4;
  return kStoreRetryInterval +
         static_cast<micros>(HashOf(own.name) % static_cast<uint64_t>(kSpread));
}

source_step WatchStep(const change_source& source,
                      const std::map<std::string, registered_host>& live,
                      const registered_host& own, micros now) {
  const source_timing& t = source.timing;
  micros wait = t.watch_timeout;
  if (HasHubs(live, own)) {
    wait =
        std::clamp(source.as_of + t.hub_refresh - now, kMinWait, t.hub_refresh);
  }
  // After a failure, a short question shows whether the store is back.
  if (source.store_failed_at != 0) wait = std::min(wait, kMinWait);
  return {.wait = wait, .limit = wait + kStoreAnswerLimit};
}

}  // namespace

source_timing TimingFor(micros change_limit) {
  change_limit = std::clamp(change_limit, kMinChangeLimit, kMaxChangeLimit);
  return {.hub_refresh = Fraction(change_limit, kHubRefreshFraction),
          .max_hub_age = Fraction(change_limit, kMaxHubAgeFraction),
          .max_age = Fraction(change_limit, kMaxAgeFraction),
          .change_limit = change_limit};
}

void LimitWatch(source_timing* timing, micros max_age) {
  timing->watch_timeout = std::min(
      timing->watch_timeout, std::max(max_age - kStoreAnswerLimit, kMinWait));
}

source_step NextStep(change_source* source,
                     const std::map<std::string, registered_host>& live,
                     const registered_host& own, micros now) {
  const source_timing& t = source->timing;
  const registered_host* hub = SelectHub(live, own, source->choice, now);
  if (hub == nullptr) {
    FollowHub(&source->choice, "", now);
    return WatchStep(*source, live, own, now);
  }
  bool is_new = hub->name != source->choice.hub;
  micros age = now - source->as_of;
  bool may_ask =
      source->store_failed_at == 0 ||
      now - source->store_failed_at >= StoreRetryInterval(*source, own);
  if (may_ask && age + kHubAnswerLimit > t.max_age) {
    FollowHub(&source->choice, "", now);
    return {.limit = kStoreAnswerLimit};
  }
  FollowHub(&source->choice, hub->name, now);
  // A new hub states at once how old its knowledge is.
  if (is_new) return {.hub = hub, .limit = kHubAnswerLimit};
  micros promoted_at = source->choice.following + kHubPromotionTime;
  micros until = std::max(source->as_of + t.max_hub_age, promoted_at);
  micros wait = std::max(until - now, kMinWait);
  micros limit = wait + kHubAnswerLimit;
  if (may_ask) limit = std::min(limit, t.max_age - age);
  return {.hub = hub, .wait = wait, .limit = limit};
}

micros ProvenTime(micros asked_at, micros wait, bool any_changes, micros now) {
  bool waited = !any_changes && now >= asked_at + wait;
  return waited ? asked_at + wait : asked_at;
}

micros PromptTime(micros asked_at, micros wait, micros now) {
  bool late = now > asked_at + wait + kPromptStoreAnswer;
  return late ? 0 : now - kPromptStoreAnswer;
}

micros ChangesMadeAfter(const change_source& source, micros now) {
  micros known = std::max(source.as_of, source.prompt_as_of);
  return now - known > source.timing.change_limit ? 0 : known;
}

micros StoreChangesMadeAfter(const change_source& source, micros asked_at,
                             micros wait, micros now) {
  micros bound = ChangesMadeAfter(source, now);
  if (now <= asked_at + kPromptStoreAnswer) return bound;
  return std::max(bound, PromptTime(asked_at, wait, now));
}

void OnStoreAnswer(change_source* source, micros as_of, micros prompt_as_of) {
  source->as_of = std::max(source->as_of, as_of);
  source->prompt_as_of = std::max({source->prompt_as_of, as_of, prompt_as_of});
  source->store_failed_at = 0;
  source->store_failures = 0;
}

void OnStoreFailure(change_source* source, const registered_host& own,
                    micros asked_at, micros now) {
  source->store_failed_at = asked_at;
  ++source->store_failures;
  if (now - source->as_of > source->timing.max_hub_age)
    AvoidHub(&source->choice, own.name, now);
}

bool OnHubAnswer(change_source* source, const std::string& hub, micros as_of,
                 micros now) {
  source->as_of = std::max(source->as_of, as_of);
  bool stale = now - as_of > source->timing.max_hub_age;
  bool promoted = now - source->choice.following > kHubPromotionTime;
  if (!stale || !promoted) return true;
  AvoidHub(&source->choice, hub, now);
  return false;
}

void OnHubFailure(change_source* source, const std::string& hub, micros now) {
  AvoidHub(&source->choice, hub, now);
}

}  // namespace baobabtray
