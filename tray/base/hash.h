// Hash functions on xxHash, and rendezvous hashing on top of them.
//
// Rendezvous (highest random weight) hashing gives every (key, host) pair a
// score that each host can compute locally. Ranking hosts by score yields the
// same owners everywhere without communication, and when a host leaves, only
// the keys that it owned move.

#ifndef TRAY_BASE_HASH_H_
#define TRAY_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace baobabtray {

// 64-bit hash of `data`. Stable across hosts and releases.
uint64_t HashOf(std::string_view data, uint64_t seed = 0);

// 128-bit hash of `data` as 32 hex digits, for comparing texts by digest.
std::string FingerprintOf(std::string_view data);

// Score of `host` for `key`. The host with the highest score owns the key.
uint64_t RendezvousScore(std::string_view key, std::string_view host);

// The same from the hashes of key and host.
uint64_t RendezvousScore(uint64_t key_hash, uint64_t host_hash);

// RendezvousScore scaled to the half-open range [0, 1).
double NormalizedRendezvousScore(std::string_view key, std::string_view host);

// Compares two secrets in time that depends only on their lengths, so that
// timing does not reveal how many bytes match.
bool EqualSecrets(std::string_view a, std::string_view b);

}  // namespace baobabtray

#endif  // TRAY_BASE_HASH_H_
