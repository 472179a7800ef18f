// baobabtray, the operators' command-line tool.
//
//   baobabtray COMMAND [ARGUMENTS] [--admin IP:PORT] [--token-file FILE]
//   [--json]
//
// Commands talk to the administration API of one host; any host will do. Exit
// codes: 0 done, 1 wrong use, 2 invalid text or refused, 3 conflict, 4 not
// accepted, 5 unknown whether accepted, 6 the host can't be reached, 7 accepted
// but not confirmed by every live host.

#include <curl/curl.h>
#include <fmt/format.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "tray/base/run_main.h"
#include "tray/base/strings.h"
#include "tray/text/topology.h"

namespace baobabtray {
namespace {

using nlohmann::json;

enum exit_code {
  kOk = 0,
  kUsage = 1,
  kInvalid = 2,
  kConflicting = 3,
  kNotAccepted = 4,
  kUnknown = 5,
  kUnreachable = 6,
  kUnconfirmed = 7,
};

constexpr char kCommands[] =
    "check FILE            check a text without any host\n"
    "apply FILE            make a text the configuration in force\n"
    "show                  print the text in force\n"
    "diff FILE             compare a text with the one in force\n"
    "out KIND NAME         take a data_centre or server out of service\n"
    "in KIND NAME          bring it back\n"
    "history [REVISION]    list recent edits, or print an older text\n"
    "rollback REVISION     make an older text the new configuration\n"
    "status                what is in force, hosts and services\n"
    "state                 the whole state of one host, as JSON\n"
    "log-level LEVEL       debug, info, warning or error\n"
    "query SERVICE [JSON]  send a query (--callers names the address)";

struct options {
  std::string admin;
  std::string callers;
  std::string token;
  std::string by;
  bool as_json = false;
  bool dry_run = false;
  int64_t base = -1;
  int64_t wait_ms = 5000;
  int64_t deadline_ms = 0;
};

struct reply {
  bool arrived = false;
  long status = 0;
  std::string body;
};

size_t Append(char* data, size_t size, size_t count, void* to) {
  static_cast<std::string*>(to)->append(data, size * count);
  return size * count;
}

reply Call(const std::string& address, const std::string& path,
           const std::string& token, const std::string* body) {
  reply r;
  CURL* easy = curl_easy_init();
  std::string url = "http://" + address + path;
  std::string auth = "Authorization: Bearer " + token;
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  if (!token.empty()) headers = curl_slist_append(headers, auth.c_str());
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 75'000L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, 2'000L);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, Append);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &r.body);
  if (body != nullptr) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body->data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body->size()));
  }
  r.arrived = curl_easy_perform(easy) == CURLE_OK;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &r.status);
  curl_slist_free_all(headers);
  curl_easy_cleanup(easy);
  return r;
}

int Fail(int code, const std::string& what) {
  fmt::print(stderr, "baobabtray: {}\n", what);
  return code;
}

// Asks the administration API. Returns kOk with `out` filled in, or complains.
int Ask(const options& o, const std::string& path, const json* body,
        json* out) {
  std::string text = body == nullptr ? "" : body->dump();
  reply r = Call(o.admin, path, o.token, body == nullptr ? nullptr : &text);
  if (!r.arrived) {
    return Fail(kUnreachable,
                fmt::format("{} does not answer; try another host with --admin",
                            o.admin));
  }
  *out = json::parse(r.body, nullptr, false);
  if (r.status == 401) {
    return Fail(kUsage,
                "the host refused the token; give the right one with "
                "--token-file");
  }
  if (out->is_object() && out->contains("error")) {
    return Fail(kInvalid, out->at("error").value("message", "refused"));
  }
  if (out->is_discarded()) {
    return Fail(kUnreachable, o.admin + " sent no valid answer");
  }
  return kOk;
}

bool ReadFile(const std::string& path, std::string* content) {
  std::ifstream in(path);
  if (!in) return false;
  std::stringstream all;
  all << in.rdbuf();
  *content = all.str();
  return true;
}

int Check(const std::string& file) {
  std::string yaml;
  if (!ReadFile(file, &yaml)) return Fail(kUsage, "can't read " + file);
  absl::StatusOr<service_topology> parsed = ParseTopology(yaml);
  if (!parsed.ok()) {
    fmt::print(stderr, "{}:\n{}\n", file, MessageOf(parsed.status()));
    return kInvalid;
  }
  fmt::print("{}: ok, {} services, {} backend servers in {} data centres\n",
             file, parsed->services.size(), parsed->servers.size(),
             parsed->data_centres.size());
  return kOk;
}

// Says how an edit ended, in words and as an exit code.
int ReportEdit(const options& o, const json& r) {
  if (o.as_json) fmt::print("{}\n", r.dump(2));
  std::string verdict = r.value("verdict", "unknown");
  std::string reason = r.value("reason", "");
  int64_t revision = r.value("revision", int64_t{0});
  if (verdict == "accepted") {
    size_t missing = r["unconfirmed"].size();
    if (!o.as_json) {
      fmt::print("accepted as revision {}, in force on {} hosts after {} ms\n",
                 revision, r["confirmed"].size(), r.value("took_ms", 0));
    }
    if (missing == 0 || o.wait_ms == 0) return kOk;
    return Fail(kUnconfirmed,
                fmt::format("accepted, but not confirmed by: {}; look at "
                            "'baobabtray status' again",
                            r["unconfirmed"].dump()));
  }
  if (verdict == "unchanged") {
    if (!o.as_json) {
      fmt::print("nothing to change{}\n", reason.empty() ? "" : ": " + reason);
    }
    return kOk;
  }
  if (verdict == "conflict") {
    for (const json& e : r["edits_since"]) {
      fmt::print(stderr, "  revision {}: {} {} by {}\n", e.value("revision", 0),
                 e.value("kind", ""), e.value("detail", ""), e.value("by", ""));
    }
    return Fail(kConflicting,
                fmt::format("conflict: {}. Run 'baobabtray diff FILE', merge, "
                            "and apply with --base {}",
                            reason, revision));
  }
  if (verdict == "refused") return Fail(kInvalid, "refused: " + reason);
  if (verdict == "not_accepted") {
    return Fail(kNotAccepted, "not accepted: " + reason +
                                  ". Nothing was changed; try again later");
  }
  return Fail(kUnknown, "unknown whether accepted: " + reason +
                            ". Look at 'baobabtray history' before repeating");
}

int Edit(const options& o, json body) {
  body["by"] = o.by;
  body["wait_ms"] = o.wait_ms;
  body["dry_run"] = o.dry_run;
  json r;
  if (int code = Ask(o, "/v1/edit", &body, &r); code != kOk) return code;
  return ReportEdit(o, r);
}

int Apply(const options& o, const std::string& file) {
  std::string yaml;
  if (!ReadFile(file, &yaml)) return Fail(kUsage, "can't read " + file);
  json body = {{"kind", "apply"}, {"text", yaml}};
  if (o.base >= 0) body["base_revision"] = o.base;
  return Edit(o, std::move(body));
}

int Show(const options& o) {
  json r;
  if (int code = Ask(o, "/v1/config", nullptr, &r); code != kOk) return code;
  fmt::print("{}", o.as_json ? r.dump(2) : r.value("text", ""));
  return kOk;
}

int History(const options& o, const std::string& revision) {
  json r;
  if (!revision.empty()) {
    int code = Ask(o, "/v1/history?revision=" + revision, nullptr, &r);
    if (code == kOk) fmt::print("{}", r.value("text", ""));
    return code;
  }
  if (int code = Ask(o, "/v1/config", nullptr, &r); code != kOk) return code;
  if (o.as_json) {
    fmt::print("{}\n", r["recent"].dump(2));
    return kOk;
  }
  for (const json& e : r["recent"]) {
    fmt::print("{:>6}  {:<9} {:<32} {}\n", e.value("revision", 0),
               e.value("kind", ""), e.value("detail", ""), e.value("by", ""));
  }
  return kOk;
}

// Lines that only one of two texts has, as a plain comparison of line lists.
int Diff(const options& o, const std::string& file) {
  std::string mine;
  if (!ReadFile(file, &mine)) return Fail(kUsage, "can't read " + file);
  json r;
  if (int code = Ask(o, "/v1/config", nullptr, &r); code != kOk) return code;
  std::string theirs = r.value("text", "");
  fmt::print("# in force: revision {}\n", r.value("revision", 0));
  std::vector<std::string> a, b;
  std::stringstream sa(theirs), sb(mine);
  for (std::string line; std::getline(sa, line);) a.push_back(line);
  for (std::string line; std::getline(sb, line);) b.push_back(line);
  size_t begin = 0;
  while (begin < a.size() && begin < b.size() && a[begin] == b[begin]) ++begin;
  size_t end_a = a.size(), end_b = b.size();
  while (end_a > begin && end_b > begin && a[end_a - 1] == b[end_b - 1]) {
    --end_a;
    --end_b;
  }
  if (begin < std::max(end_a, end_b)) fmt::print("@@ line {} @@\n", begin + 1);
  for (size_t i = begin; i < end_a; ++i) fmt::print("-{}\n", a[i]);
  for (size_t i = begin; i < end_b; ++i) fmt::print("+{}\n", b[i]);
  return kOk;
}

int Status(const options& o) {
  json r;
  if (int code = Ask(o, "/v1/status", nullptr, &r); code != kOk) return code;
  if (o.as_json) {
    fmt::print("{}\n", r.dump(2));
    return kOk;
  }
  fmt::print("host {}: revision {} from {}, store {}\n", r.value("host", ""),
             r.value("revision", 0), r.value("source", ""),
             r.value("store_answers", false) ? "answers" : "DOES NOT ANSWER");
  if (!r.value("problem", "").empty()) {
    fmt::print("PROBLEM: {}\n", r.value("problem", ""));
  }
  for (const json& p : r["out"]) {
    fmt::print("out of service: {} {}\n", p.value("kind", ""),
               p.value("name", ""));
  }
  fmt::print("\n{:<24} {:<20} {:<8} {}\n", "HOST", "DATA CENTRE", "STATUS",
             "PEERS");
  for (const json& h : r["hosts"]) {
    fmt::print("{:<24} {:<20} {:<8} {}\n", h.value("name", ""),
               h.value("data_centre", ""), h.value("status", ""),
               h.value("peers", ""));
  }
  fmt::print("\n{:<32} {}\n", "SERVICE", "BACKEND SERVERS BY PHASE");
  for (const auto& [name, phases] : r["services"].items()) {
    std::string list;
    for (const auto& [phase, count] : phases.items()) {
      list += fmt::format("{} {}  ", count.get<int>(), phase);
    }
    fmt::print("{:<32} {}\n", name, list);
  }
  fmt::print("\nqueries in hand {}, shards waiting {}\n",
             r.value("queries_in_hand", 0), r.value("shards_waiting", 0));
  return kOk;
}

int State(const options& o) {
  json r;
  if (int code = Ask(o, "/v1/state", nullptr, &r); code != kOk) return code;
  fmt::print("{}\n", r.dump(2));
  return kOk;
}

int Query(const options& o, const std::string& service,
          const std::string& payload) {
  json parsed = json::parse(payload.empty() ? "null" : payload, nullptr, false);
  if (parsed.is_discarded()) return Fail(kUsage, "the payload is not JSON");
  json body = {{"service", service}, {"payload", parsed}};
  if (o.deadline_ms > 0) body["deadline_ms"] = o.deadline_ms;
  std::string text = body.dump();
  reply r = Call(o.callers, "/v1/query", "", &text);
  if (!r.arrived) return Fail(kUnreachable, o.callers + " does not answer");
  json answer = json::parse(r.body, nullptr, false);
  if (o.as_json || !answer.contains("coverage")) {
    fmt::print("{}\n", answer.dump(2));
  } else {
    const json& coverage = answer["coverage"];
    fmt::print("{}: {} of {} shards, index version {}\n",
               answer.value("outcome", ""), coverage.value("answered", 0),
               coverage.value("total", 0), answer.value("index_version", 0));
    for (const json& m : coverage["missing"]) {
      fmt::print("missing: {} shard {}: {}\n", m.value("service", ""),
                 m.value("shard", 0), m.value("reason", ""));
    }
  }
  return r.status == 200 ? kOk : kInvalid;
}

int Dispatch(const options& o, const std::vector<std::string>& words) {
  const std::string& command = words[0];
  auto word = [&](size_t i) { return i < words.size() ? words[i] : ""; };
  auto needs = [&](size_t count) { return words.size() == count + 1; };
  if (command == "check" && needs(1)) return Check(word(1));
  if (command == "apply" && needs(1)) return Apply(o, word(1));
  if (command == "show" && needs(0)) return Show(o);
  if (command == "diff" && needs(1)) return Diff(o, word(1));
  if ((command == "out" || command == "in") && needs(2)) {
    return Edit(
        o, {{"kind", command}, {"place_kind", word(1)}, {"place", word(2)}});
  }
  if (command == "history" && words.size() <= 2) return History(o, word(1));
  if (command == "rollback" && needs(1)) {
    auto revision = ParseNumber<int64_t>(word(1));
    if (!revision) return Fail(kUsage, "a revision is a number");
    return Edit(o, {{"kind", "rollback"}, {"revision", *revision}});
  }
  if (command == "status" && needs(0)) return Status(o);
  if (command == "state" && needs(0)) return State(o);
  if (command == "log-level" && needs(1)) {
    json r, body = {{"level", word(1)}};
    return Ask(o, "/v1/log_level", &body, &r);
  }
  if (command == "query" && words.size() >= 2) {
    return Query(o, word(1), word(2));
  }
  return Fail(kUsage, fmt::format("wrong use; commands are\n{}", kCommands));
}

}  // namespace

int RunProgram(int argc, char** argv) {
  TCLAP::CmdLine cmd("baobabtray: drives a baobabtray tier. Commands:\n" +
                         std::string(kCommands),
                     ' ', BAOBABTRAY_VERSION);
  using value = TCLAP::ValueArg<std::string>;
  const char* user = getenv("USER");
  value admin("a", "admin", "administration address of any host", false,
              "127.0.0.1:7003", "IP:PORT", cmd);
  value callers("c", "callers", "callers' address, for query", false,
                "127.0.0.1:7001", "IP:PORT", cmd);
  value token_file("t", "token-file", "file with the token", false, "", "FILE",
                   cmd);
  value by("", "by", "who edits, for the history", false,
           user == nullptr ? "operator" : user, "NAME", cmd);
  TCLAP::SwitchArg as_json("j", "json", "print JSON for programs", cmd);
  TCLAP::SwitchArg dry_run("", "dry-run", "check an edit, change nothing", cmd);
  TCLAP::ValueArg<int64_t> base("", "base", "revision the text was made from",
                                false, -1, "N", cmd);
  TCLAP::ValueArg<int64_t> wait("", "wait-ms", "wait for all hosts this long",
                                false, 5000, "N", cmd);
  TCLAP::ValueArg<int64_t> deadline("", "deadline-ms", "deadline of a query",
                                    false, 0, "N", cmd);
  TCLAP::UnlabeledMultiArg<std::string> words(
      "command", "command and arguments", true, "COMMAND", cmd);
  cmd.parse(argc, argv);
  options o{.admin = admin.getValue(),
            .callers = callers.getValue(),
            .by = by.getValue(),
            .as_json = as_json.getValue(),
            .dry_run = dry_run.getValue(),
            .base = base.getValue(),
            .wait_ms = wait.getValue(),
            .deadline_ms = deadline.getValue()};
  if (!token_file.getValue().empty()) {
    if (!ReadFile(token_file.getValue(), &o.token)) {
      return Fail(kUsage, "can't read " + token_file.getValue());
    }
    o.token = o.token.substr(0, o.token.find('\n'));
  }
  curl_global_init(CURL_GLOBAL_ALL);
  return Dispatch(o, words.getValue());
}

}  // namespace baobabtray

int main(int argc, char** argv) {
  return baobabtray::RunMain(baobabtray::RunProgram, argc, argv, 1);
}
