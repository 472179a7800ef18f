// Hashing by xxHash, and rendezvous ranking on top of it.
//
// Rendezvous hashing gives every (key, host) pair a score that each host can
// work out alone. Hosts ranked by score give the same owners everywhere without
// any message, and a host that leaves moves only its own keys.

#ifndef TRAY_BASE_HASH_H_
#define TRAY_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace baobabtray {

// 64-bit hash of `data`; stable across hosts and releases.
uint64_t HashOf(std::string_view data, uint64_t seed = 0);

// 128-bit hash of `data` as 32 hex digits, to compare whole texts.
std::string FingerprintOf(std::string_view data);

// Score of `host` for `key`; the highest score owns the key.
uint64_t RendezvousScore(std::string_view key, std::string_view host);

// Score of a host for a key when both are hashed already.
uint64_t RendezvousScore(uint64_t key_hash, uint64_t host_hash);

// A score from 0 to 1, without 1.
double NormalizedRendezvousScore(std::string_view key, std::string_view host);

// Compares two secrets in time that depends only on their lengths.
bool EqualSecrets(std::string_view a, std::string_view b);

}  // namespace baobabtray

#endif  // TRAY_BASE_HASH_H_
