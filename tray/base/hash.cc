// Hashing by xxHash. See hash.h.

#include "tray/base/hash.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <xxhash.h>

#include <array>
#include <cmath>

namespace baobabtray {

uint64_t HashOf(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string FingerprintOf(std::string_view data) {
  XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

uint64_t RendezvousScore(std::string_view key, std::string_view host) {
  return RendezvousScore(HashOf(key), HashOf(host));
}

uint64_t RendezvousScore(uint64_t key_hash, uint64_t host_hash) {
  std::array<uint64_t, 2> pair = {key_hash, host_hash};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

double NormalizedRendezvousScore(std::string_view key, std::string_view host) {
  // A double holds 53 bits exactly.
  return std::ldexp(static_cast<double>(RendezvousScore(key, host) >> 11), -53);
}

bool EqualSecrets(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace baobabtray
