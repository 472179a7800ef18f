// Division of a limit, and rendezvous hashing of its lenders.

#include "tray/quota/quota.h"

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

// Parts of the slack and the overage reserved for hosts that reach no lender.
// Limits of more requests a window than this count as this.
constexpr double kMaxBound = 1e9;
constexpr double kFallbackSlackPart = 0.3;
constexpr double kFallbackOveragePart = 0.2;
// What the limit itself allows in a window.
double InWindow(const quota_limit& limit, const quota_bounds& bounds) {
  return limit.rate * static_cast<double>(bounds.window) / kSecond +
         limit.burst;
}

uint64_t PartHash(std::string_view customer, int part) {
  return HashOf(customer, static_cast<uint64_t>(part) + 1);
}

quota_owners::owner Candidate(const quota_owners& owners,
                              const std::string& customer, int part,
                              const std::string& name,
                              const quota_owners::host& host) {
  return {
      .name = name,
      .in_region = host.region == QuotaRegion(customer, part, owners.regions),
      .score = RendezvousScore(PartHash(customer, part), host.hash)};
}

bool Outranks(const quota_owners::owner& a, const quota_owners::owner& b) {
  if (a.name.empty() || b.name.empty()) return b.name.empty();
  if (a.in_region != b.in_region) return a.in_region;
  return a.score != b.score ? a.score > b.score : a.name < b.name;
}

quota_owners::owner FindOwner(const quota_owners& owners,
                              const std::string& customer, int part) {
  quota_owners::owner best;
  for (const auto& [name, host] : owners.hosts) {
    quota_owners::owner next = Candidate(owners, customer, part, name, host);
    if (Outranks(next, best)) best = std::move(next);
  }
  return best;
}

}  // namespace

int FallbackTotal(const quota_limit& limit, const quota_bounds& bounds) {
  double total =
      kFallbackSlackPart * bounds.slack +
      kFallbackOveragePart * bounds.overage * InWindow(limit, bounds);
  return static_cast<int>(std::min(total, kMaxBound / 2));
}

quota_part PartOf(const quota_limit& limit, const quota_bounds& bounds,
                  int part) {
  double bound = InWindow(limit, bounds) * (1 + bounds.overage) + bounds.slack;
  int lent = static_cast<int>(std::min(bound, kMaxBound)) -
             FallbackTotal(limit, bounds);
  quota_part out{.rate = limit.rate / kQuotaLenders,
                 .max_in_window = (lent + part) / kQuotaLenders};
  double window_s =
      static_cast<double>(bounds.window + kMaxCreditAge) / kSecond;
  out.capacity =
      std::max(1.0, out.max_in_window - out.rate * window_s - kFirstTokens);
  return out;
}

int FallbackOf(int total, int rank, int hosts) {
  hosts = std::max(hosts, 1);
  return total / hosts + (rank < total % hosts ? 1 : 0);
}

int QuotaRegion(std::string_view customer, int part, int regions) {
  uint64_t first = HashOf(customer);
  return static_cast<int>((first + static_cast<uint64_t>(part)) %
                          static_cast<uint64_t>(std::max(regions, 1)));
}

void UpsertQuotaHost(quota_owners* owners, const std::string& name,
                     int region) {
  auto known = owners->hosts.find(name);
  if (known != owners->hosts.end()) {
    if (known->second.region == region) return;
    RemoveQuotaHost(owners, name);
  }
  quota_owners::host host{.hash = HashOf(name), .region = region};
  owners->hosts.emplace(name, host);
  for (auto& [customer, parts] : owners->customers) {
    for (int i = 0; i < kQuotaLenders; ++i) {
      auto next = Candidate(*owners, customer, i, name, host);
      if (Outranks(next, parts[i])) parts[i] = std::move(next);
    }
  }
}

void RemoveQuotaHost(quota_owners* owners, const std::string& name) {
  if (owners->hosts.erase(name) == 0) return;
  for (auto& [customer, parts] : owners->customers) {
    for (int i = 0; i < kQuotaLenders; ++i) {
      if (parts[i].name == name) parts[i] = FindOwner(*owners, customer, i);
    }
  }
}

void SetQuotaCustomers(quota_owners* owners,
                       const std::vector<std::string>& customers) {
  std::map<std::string, std::array<quota_owners::owner, kQuotaLenders>> next;
  for (const std::string& customer : customers) {
    auto known = owners->customers.find(customer);
    if (known != owners->customers.end()) {
      next[customer] = std::move(known->second);
      continue;
    }
    for (int i = 0; i < kQuotaLenders; ++i) {
      next[customer][i] = FindOwner(*owners, customer, i);
    }
  }
  owners->customers = std::move(next);
}

std::string_view QuotaLender(const quota_owners& owners,
                             const std::string& customer, int part) {
  auto found = owners.customers.find(customer);
  if (found == owners.customers.end() || part < 0 || part >= kQuotaLenders) {
    return "";
  }
  return found->second[part].name;
}

int FallbackRank(const quota_owners& owners, const std::string& customer,
                 const std::string& name) {
  uint64_t key = PartHash(customer, kQuotaLenders);
  uint64_t own = RendezvousScore(key, HashOf(name));
  return static_cast<int>(std::count_if(
      owners.hosts.begin(), owners.hosts.end(), [&](const auto& entry) {
        return entry.first != name &&
               RendezvousScore(key, entry.second.hash) > own;
      }));
}

}  // namespace baobabtray
