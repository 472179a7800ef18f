// Reads the operators' text and checks it as a whole. See topology.h.
//
// Two passes. The first reads every section into structs and records names; the
// second resolves references, so the order of sections does not matter. Both
// keep going after an error.

#include "tray/text/topology.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "tray/base/endpoint.h"
#include "tray/base/strings.h"
#include "tray/base/yaml_doc.h"

namespace baobabtray {
namespace {

// Accepts what can stand in a URL, a log line and a table without quoting.
bool IsName(std::string_view name) {
  if (name.empty() || name.size() > 64) return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

class text_reader {
 public:
  text_reader(service_topology* out, doc_errors* errors)
      : out_(*out), errors_(*errors) {}

  void Read(const doc_node& root) {
    doc_map top(root, "the text", &errors_);
    ReadRegions(&top);
    ReadDataCentres(&top);
    ReadCustomers(&top);
    for (const doc_node& item : top.List("services")) ReadService(item);
    top.RejectUnknownKeys();
    ResolveDependencies();
    CheckCycles();
    CheckCoverage();
    CheckFanOut();
  }

 private:
  // Checks the form of `name` and that nothing else in `seen` has it.
  bool CheckName(const doc_node& at, const std::string& name,
                 std::string_view kind,
                 const std::unordered_map<std::string, int>& seen) {
    if (!IsName(name)) {
      errors_.Add(
          at, fmt::format("{} name '{}' must be 1 to 64 of a-z 0-9 - _ .", kind,
                          name));
      return false;
    }
    if (seen.contains(name)) {
      errors_.Add(at, fmt::format("duplicate {} '{}'", kind, name));
      return false;
    }
    return true;
  }

  void ReadRegions(doc_map* top) {
    for (const doc_node& item : top->List("regions")) {
      if (CheckName(item, item.scalar, "region", region_by_name_)) {
        region_by_name_[item.scalar] = static_cast<int>(out_.regions.size());
      }
      out_.regions.push_back(item.scalar);
    }
  }

  void ReadDataCentres(doc_map* top) {
    for (const doc_node& item : top->List("data_centres")) {
      doc_map map(item, "data centre", &errors_);
      data_centre dc{.name = map.String("name")};
      std::string region = map.String("region");
      map.RejectUnknownKeys();
      if (auto found = region_by_name_.find(region);
          found != region_by_name_.end()) {
        dc.region = found->second;
      } else {
        errors_.Add(item, fmt::format("unknown region '{}'", region));
      }
      if (CheckName(item, dc.name, "data centre", out_.data_centre_by_name)) {
        out_.data_centre_by_name[dc.name] =
            static_cast<int>(out_.data_centres.size());
      }
      out_.data_centres.push_back(std::move(dc));
    }
  }

  void ReadCustomers(doc_map* top) {
    for (const doc_node& item : top->List("customers")) {
      doc_map map(item, "customer", &errors_);
      customer c{
          .name = map.String("name"),
          .weight = static_cast<int>(map.Number("weight", {1, 1000}, 1))};
      map.RejectUnknownKeys();
      if (CheckName(item, c.name, "customer", customer_by_name_)) {
        customer_by_name_[c.name] = static_cast<int>(out_.customers.size());
      }
      out_.customers.push_back(std::move(c));
    }
  }

  void ReadService(const doc_node& item) {
    doc_map map(item, "service", &errors_);
    service s{.name = map.String("name")};
    int index = static_cast<int>(out_.services.size());
    if (CheckName(item, s.name, "service", out_.service_by_name)) {
      out_.service_by_name[s.name] = index;
    }
    std::string owner = map.String("customer", "");
    if (auto found = customer_by_name_.find(owner);
        found != customer_by_name_.end()) {
      s.customer = found->second;
    } else if (!owner.empty()) {
      errors_.Add(item, fmt::format("unknown customer '{}'", owner));
    }
    s.shards =
        static_cast<int>(map.Number("shards", {0, kMaxShardsPerService}, 0));
    if (const doc_node* policy = map.Find("policy")) {
      s.policy = ReadPolicy(*policy);
    }
    backend_server defaults = ReadServerDefaults(&map);
    for (const std::string& name : map.Strings("depends_on")) {
      references_.push_back({index, name, &item});
    }
    for (const doc_node& server : map.List("backend_servers")) {
      ReadServer(server, defaults, index, &s);
    }
    map.RejectUnknownKeys();
    places_.push_back(&item);
    out_.services.push_back(std::move(s));
  }

  service_policy ReadPolicy(const doc_node& item) {
    doc_map map(item, "policy", &errors_);
    service_policy p;
    p.default_deadline = map.Number("deadline_ms", {1, 600'000},
                                    p.default_deadline / kMillisecond) *
                         kMillisecond;
    std::string rank = map.String("priority", "normal");
    if (auto found = ValueOf(kPriorityNames, rank)) {
      p.default_priority = *found;
    } else {
      errors_.Add(item, fmt::format("unknown priority '{}': one of urgent, "
                                    "normal, audit",
                                    rank));
    }
    p.idempotent = map.Bool("idempotent", p.idempotent);
    p.hedge_budget = map.Fraction("hedge_budget", p.hedge_budget);
    p.soft_deadline =
        map.Number("soft_deadline_ms", {0, 600'000}, 0) * kMillisecond;
    p.min_coverage = map.Fraction("min_coverage", p.min_coverage);
    if (p.soft_deadline > p.default_deadline) {
      errors_.Add(item, "'soft_deadline_ms' is beyond 'deadline_ms'");
    }
    map.RejectUnknownKeys();
    return p;
  }

  // Sizes that a service states once and a backend server may override.
  backend_server ReadServerDefaults(doc_map* map) {
    backend_server d;
    d.slots = static_cast<int>(map->Number("slots", {1, 10'000}, d.slots));
    d.connections = static_cast<int>(
        map->Number("connections", {1, 100'000}, d.connections));
    d.connect_ms =
        static_cast<int>(map->Number("connect_ms", {0, 60'000}, d.connect_ms));
    d.cold_limit =
        static_cast<int>(map->Number("cold_limit", {1, 10'000}, d.cold_limit));
    return d;
  }

  void ReadServer(const doc_node& item, const backend_server& defaults,
                  int service_index, service* s) {
    doc_map map(item, "backend server", &errors_);
    backend_server b = defaults;
    b.service = service_index;
    b.name = map.String("name");
    int index = static_cast<int>(out_.servers.size());
    if (CheckName(item, b.name, "backend server", out_.server_by_name)) {
      out_.server_by_name[b.name] = index;
    }
    std::string dc = map.String("data_centre");
    if (auto found = out_.data_centre_by_name.find(dc);
        found != out_.data_centre_by_name.end()) {
      b.data_centre = found->second;
    } else {
      errors_.Add(item, fmt::format("unknown data centre '{}'", dc));
    }
    ReadAddress(item, map.String("address"), &b);
    ReadShards(item, &map, *s, &b);
    b.slots = static_cast<int>(map.Number("slots", {1, 10'000}, b.slots));
    b.connections = static_cast<int>(
        map.Number("connections", {1, 100'000}, b.connections));
    b.connect_ms =
        static_cast<int>(map.Number("connect_ms", {0, 60'000}, b.connect_ms));
    b.cold_limit =
        static_cast<int>(map.Number("cold_limit", {1, 10'000}, b.cold_limit));
    if (b.slots > b.connections) {
      errors_.Add(item, fmt::format("{} slots need as many connections, not {}",
                                    b.slots, b.connections));
    }
    map.RejectUnknownKeys();
    s->servers.push_back(index);
    out_.servers.push_back(std::move(b));
  }

  void ReadAddress(const doc_node& item, const std::string& address,
                   backend_server* b) {
    absl::StatusOr<endpoint> parsed = ParseEndpoint(address);
    if (!parsed.ok()) {
      errors_.Add(item, fmt::format("address {}", MessageOf(parsed.status())));
      return;
    }
    if (!addresses_.insert(address).second) {
      errors_.Add(item, fmt::format("duplicate address '{}'", address));
    }
    b->address = *parsed;
  }

  void ReadShards(const doc_node& item, doc_map* map, const service& s,
                  backend_server* b) {
    for (const std::string& word : map->Strings("shards")) {
      int shard = ParseNumber<int>(word).value_or(-1);
      if (shard < 0 || shard >= s.shards) {
        errors_.Add(item, fmt::format("shard '{}' is not from 0 to {}", word,
                                      s.shards - 1));
        continue;
      }
      b->shards.push_back(shard);
    }
    if (map->Find("shards") == nullptr) {
      for (int i = 0; i < s.shards; ++i) b->shards.push_back(i);
    }
    std::sort(b->shards.begin(), b->shards.end());
    if (std::adjacent_find(b->shards.begin(), b->shards.end()) !=
        b->shards.end()) {
      errors_.Add(item, "a shard is listed twice");
    }
  }

  void ResolveDependencies() {
    for (const reference& ref : references_) {
      auto found = out_.service_by_name.find(ref.target);
      if (found == out_.service_by_name.end()) {
        errors_.Add(*ref.at,
                    fmt::format("depends on unknown service '{}'", ref.target));
        continue;
      }
      out_.services[ref.from].depends_on.push_back(found->second);
    }
  }

  // Depth-first search with an explicit stack; a service met again while still
  // on the stack closes a cycle.
  void CheckCycles() {
    enum class mark { kNew, kOpen, kDone };
    std::vector<mark> marks(out_.services.size(), mark::kNew);
    for (size_t root = 0; root < out_.services.size(); ++root) {
      if (marks[root] != mark::kNew) continue;
      std::vector<std::pair<int, size_t>> stack = {{static_cast<int>(root), 0}};
      marks[root] = mark::kOpen;
      while (!stack.empty()) {
        auto& [at, next] = stack.back();
        const std::vector<int>& edges = out_.services[at].depends_on;
        if (next == edges.size()) {
          marks[at] = mark::kDone;
          stack.pop_back();
          continue;
        }
        int to = edges[next++];
        if (marks[to] == mark::kOpen) {
          errors_.Add(
              *places_[at],
              fmt::format("'{}' depends on itself through '{}'",
                          out_.services[at].name, out_.services[to].name));
        } else if (marks[to] == mark::kNew) {
          marks[to] = mark::kOpen;
          stack.push_back({to, 0});
        }
      }
    }
  }

  void CheckCoverage() {
    for (size_t i = 0; i < out_.services.size(); ++i) {
      const service& s = out_.services[i];
      std::vector<bool> held(s.shards, false);
      for (int server : s.servers) {
        for (int shard : out_.servers[server].shards) held[shard] = true;
      }
      for (int shard = 0; shard < s.shards; ++shard) {
        if (held[shard]) continue;
        errors_.Add(*places_[i], fmt::format("no backend server holds shard {} "
                                             "of '{}'",
                                             shard, s.name));
      }
      if (s.shards == 0 && !s.servers.empty()) {
        errors_.Add(
            *places_[i],
            fmt::format("'{}' has backend servers but no shards", s.name));
      }
    }
  }

  void CheckFanOut() {
    if (!errors_.empty()) return;  // a cycle would make the count misleading
    for (size_t i = 0; i < out_.services.size(); ++i) {
      int shards = 0;
      for (int s : ReachableServices(out_, static_cast<int>(i))) {
        shards += out_.services[s].shards;
      }
      if (shards == 0 || shards > kMaxShardsPerQuery) {
        errors_.Add(
            *places_[i],
            fmt::format("a query to '{}' touches {} shards; from 1 to "
                        "{} are allowed",
                        out_.services[i].name, shards, kMaxShardsPerQuery));
      }
    }
  }

  struct reference {
    int from;
    std::string target;
    const doc_node* at;
  };

  service_topology& out_;
  doc_errors& errors_;
  std::unordered_map<std::string, int> region_by_name_;
  std::unordered_map<std::string, int> customer_by_name_;
  std::set<std::string> addresses_;
  std::vector<reference> references_;
  std::vector<const doc_node*> places_;  // of each service, in order
};

}  // namespace

absl::StatusOr<service_topology> ParseTopology(std::string_view yaml) {
  doc_errors errors;
  std::unique_ptr<doc_node> root = ParseDoc(yaml, &errors);
  if (root == nullptr) return errors.ToStatus();
  service_topology result;
  text_reader(&result, &errors).Read(*root);
  if (!errors.empty()) return errors.ToStatus();
  return result;
}

const service* FindService(const service_topology& t, std::string_view name) {
  auto found = t.service_by_name.find(std::string(name));
  return found == t.service_by_name.end() ? nullptr
                                          : &t.services[found->second];
}

std::vector<int> ReachableServices(const service_topology& t, int root) {
  std::vector<bool> seen(t.services.size(), false);
  std::vector<int> order = {root};
  seen[root] = true;
  for (size_t i = 0; i < order.size(); ++i) {
    for (int next : t.services[order[i]].depends_on) {
      if (seen[next]) continue;
      seen[next] = true;
      order.push_back(next);
    }
  }
  return order;
}

}  // namespace baobabtray
