// Roll-outs in one host's pool of servers: the gates of its services
// (version_gate.h), which orders and records of the store create.

#ifndef TRAY_RELAY_ROLLOUTS_H_
#define TRAY_RELAY_ROLLOUTS_H_

#include <string>
#include <vector>

#include "tray/relay/relay.h"
#include "tray/relay/servers.h"
#include "tray/rollout/rollout.h"

namespace baobabtray {

void ApplyRolloutOrder(relay_pool* pool, const rollout_order& order);
void ApplyRolloutRecord(relay_pool* pool, const rollout_record& record,
                        micros now);
// `made_at`: when the report was made that the directive answers.
void ApplyRolloutDirective(relay_pool* pool, const rollout_directive& directive,
                           micros made_at);

// Reports on all roll-outs that run, without the host's name and incarnation.
std::vector<rollout_report> ReportRollouts(relay_pool* pool, micros now);

// Whether an attempt's latency at the server says nothing of its version: the
// server is cold or has just started, or has to be connected to first.
bool IsUntimed(const relay_server& s, micros now);

// Records the end of an attempt that was sent.
void RecordRolloutAnswer(const relay_attempt& a, const std::string& route,
                         relay_attempt_outcome outcome, micros now);

}  // namespace baobabtray

#endif  // TRAY_RELAY_ROLLOUTS_H_
