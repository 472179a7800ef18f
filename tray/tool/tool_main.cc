// baobabtray, the operators' command-line tool.
//
//   baobabtray COMMAND [ARGUMENTS] [--admin IP:PORT] [--token-file FILE]
//   [--json]
//
// Commands use the admin API of one host, which may be any host. Exit codes: 0
// success, 1 usage error, 2 invalid text or edit refused, 3 conflict, 4 not
// accepted, 5 unknown whether accepted, 6 host unreachable, 7 accepted but not
// confirmed by all live hosts.

#include <curl/curl.h>
#include <fmt/format.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "tray/base/json.h"
#include "tray/base/run_main.h"
#include "tray/base/strings.h"
#include "tray/text/topology.h"

namespace baobabtray {
namespace {

using nlohmann::json;

enum exit_code {
  kOk = 0,
  kUsageError = 1,
  kInvalid = 2,
  kConflict = 3,
  kNotAccepted = 4,
  kOutcomeUnknown = 5,
  kUnreachable = 6,
  kUnconfirmed = 7,
};

constexpr char kCommands[] =
    "check FILE            validate a text locally\n"
    "apply FILE            make a text the active configuration\n"
    "show                  print the active text\n"
    "diff FILE             compare a text with the active one\n"
    "out KIND NAME         take a data_centre or server out of service\n"
    "in KIND NAME          return it to service\n"
    "history [REVISION]    list recent edits, or print an earlier text\n"
    "rollback REVISION     make an earlier text the active configuration\n"
    "status                active revision, hosts and services\n"
    "state                 complete state of one host, as JSON\n"
    "log-level LEVEL       set to debug, info, warning or error\n"
    "query SERVICE [JSON]  send a query to the address given by --callers";

struct options {
  std::string admin;
  std::string callers;
  std::string token;
  std::string author;
  bool as_json = false;
  bool dry_run = false;
  int64_t base_revision = -1;
  int64_t wait_ms = 5000;
  int64_t deadline_ms = 0;
};

struct reply {
  bool received = false;
  long status = 0;
  std::string body;
};

size_t AppendToString(char* data, size_t size, size_t count, void* to) {
  static_cast<std::string*>(to)->append(data, size * count);
  return size * count;
}

reply SendRequest(const std::string& address, const std::string& path,
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
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, AppendToString);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &r.body);
  if (body != nullptr) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body->data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body->size()));
  }
  r.received = curl_easy_perform(easy) == CURLE_OK;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &r.status);
  curl_slist_free_all(headers);
  curl_easy_cleanup(easy);
  return r;
}

int Fail(int code, const std::string& what) {
  fmt::print(stderr, "baobabtray: {}\n", what);
  return code;
}

// Calls the admin API. Returns kOk and sets `out`, or prints an error.
int CallAdminApi(const options& o, const std::string& path, const json* body,
                 json* out) {
  std::string text = body == nullptr ? "" : body->dump();
  reply r =
      SendRequest(o.admin, path, o.token, body == nullptr ? nullptr : &text);
  if (!r.received) {
    return Fail(kUnreachable,
                fmt::format("{} did not respond; try another host with --admin",
                            o.admin));
  }
  *out = ParseJson(r.body);
  if (r.status == 401) {
    return Fail(kUsageError,
                "the host rejected the token; pass a valid one with "
                "--token-file");
  }
  if (out->is_object() && out->contains("error")) {
    return Fail(kInvalid, out->at("error").value("message", "refused"));
  }
  if (out->is_discarded()) {
    return Fail(kUnreachable, o.admin + " sent an invalid response");
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
  if (!ReadFile(file, &yaml)) return Fail(kUsageError, "cannot read " + file);
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

// Prints the outcome of an edit and returns the exit code.
int ReportEdit(const options& o, const json& r) {
  if (o.as_json) fmt::print("{}\n", r.dump(2));
  std::string verdict = r.value("verdict", "unknown");
  std::string reason = r.value("reason", "");
  int64_t revision = r.value("revision", int64_t{0});
  if (verdict == "accepted") {
    size_t missing = r["unconfirmed"].size();
    if (!o.as_json) {
      fmt::print("accepted as revision {}, active on {} hosts after {} ms\n",
                 revision, r["confirmed"].size(), r.value("took_ms", 0));
    }
    if (missing == 0 || o.wait_ms == 0) return kOk;
    return Fail(kUnconfirmed,
                fmt::format("accepted, but not confirmed by: {}; check with "
                            "'baobabtray status'",
                            r["unconfirmed"].dump()));
  }
  if (verdict == "unchanged") {
    if (!o.as_json) {
      fmt::print("no change{}\n", reason.empty() ? "" : ": " + reason);
    }
    return kOk;
  }
  if (verdict == "conflict") {
    for (const json& e : r["edits_since"]) {
      fmt::print(stderr, "  revision {}: {} {} by {}\n", e.value("revision", 0),
                 e.value("kind", ""), e.value("detail", ""), e.value("by", ""));
    }
    return Fail(kConflict,
                fmt::format("conflict: {}. Run 'baobabtray diff FILE', merge, "
                            "and apply with --base {}",
                            reason, revision));
  }
  if (verdict == "refused") return Fail(kInvalid, "refused: " + reason);
  if (verdict == "not_accepted") {
    return Fail(kNotAccepted, "not accepted: " + reason +
                                  ". Nothing was changed; retry later");
  }
  return Fail(kOutcomeUnknown,
              "unknown whether accepted: " + reason +
                  ". Check 'baobabtray history' before retrying");
}

int SubmitEdit(const options& o, json body) {
  body["by"] = o.author;
  body["wait_ms"] = o.wait_ms;
  body["dry_run"] = o.dry_run;
  json r;
  if (int code = CallAdminApi(o, "/v1/edit", &body, &r); code != kOk)
    return code;
  return ReportEdit(o, r);
}

int Apply(const options& o, const std::string& file) {
  std::string yaml;
  if (!ReadFile(file, &yaml)) return Fail(kUsageError, "cannot read " + file);
  json body = {{"kind", "apply"}, {"text", yaml}};
  if (o.base_revision >= 0) body["base_revision"] = o.base_revision;
  return SubmitEdit(o, std::move(body));
}

int Show(const options& o) {
  json r;
  if (int code = CallAdminApi(o, "/v1/config", nullptr, &r); code != kOk)
    return code;
  fmt::print("{}", o.as_json ? r.dump(2) : r.value("text", ""));
  return kOk;
}

int History(const options& o, const std::string& revision) {
  json r;
  if (!revision.empty()) {
    int code = CallAdminApi(o, "/v1/history?revision=" + revision, nullptr, &r);
    if (code == kOk) fmt::print("{}", r.value("text", ""));
    return code;
  }
  if (int code = CallAdminApi(o, "/v1/config", nullptr, &r); code != kOk)
    return code;
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

// Prints the lines between the common first and last lines of the two texts.
int Diff(const options& o, const std::string& file) {
  std::string file_text;
  if (!ReadFile(file, &file_text))
    return Fail(kUsageError, "cannot read " + file);
  json r;
  if (int code = CallAdminApi(o, "/v1/config", nullptr, &r); code != kOk)
    return code;
  std::string active_text = r.value("text", "");
  fmt::print("# active: revision {}\n", r.value("revision", 0));
  std::vector<std::string> a, b;
  std::stringstream sa(active_text), sb(file_text);
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
  if (int code = CallAdminApi(o, "/v1/status", nullptr, &r); code != kOk)
    return code;
  if (o.as_json) {
    fmt::print("{}\n", r.dump(2));
    return kOk;
  }
  fmt::print("host {}: revision {} from {}, store {}\n", r.value("host", ""),
             r.value("revision", 0), r.value("source", ""),
             r.value("store_answers", false) ? "reachable" : "UNREACHABLE");
  if (!r.value("problem", "").empty()) {
    fmt::print("ERROR: {}\n", r.value("problem", ""));
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
  fmt::print("\nactive queries {}, shards waiting {}\n",
             r.value("queries_in_hand", 0), r.value("shards_waiting", 0));
  return kOk;
}

int State(const options& o) {
  json r;
  if (int code = CallAdminApi(o, "/v1/state", nullptr, &r); code != kOk)
    return code;
  fmt::print("{}\n", r.dump(2));
  return kOk;
}

int Query(const options& o, const std::string& service,
          const std::string& payload) {
  json parsed = ParseJson(payload.empty() ? "null" : payload);
  if (parsed.is_discarded())
    return Fail(kUsageError,
                "the payload is not valid JSON, or nested too deep");
  json body = {{"service", service}, {"payload", parsed}};
  if (o.deadline_ms > 0) body["deadline_ms"] = o.deadline_ms;
  std::string text = body.dump();
  reply r = SendRequest(o.callers, "/v1/query", "", &text);
  if (!r.received) return Fail(kUnreachable, o.callers + " did not respond");
  json answer = ParseJson(r.body);
  if (answer.is_discarded()) {
    fmt::print("{}\n", r.body);  // results may be nested deeper
  } else if (o.as_json || !answer.contains("coverage")) {
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

int Dispatch(const options& o, const std::vector<std::string>& arguments) {
  const std::string& command = arguments[0];
  auto argument = [&](size_t i) {
    return i < arguments.size() ? arguments[i] : "";
  };
  auto has_arguments = [&](size_t count) {
    return arguments.size() == count + 1;
  };
  if (command == "check" && has_arguments(1)) return Check(argument(1));
  if (command == "apply" && has_arguments(1)) return Apply(o, argument(1));
  if (command == "show" && has_arguments(0)) return Show(o);
  if (command == "diff" && has_arguments(1)) return Diff(o, argument(1));
  if ((command == "out" || command == "in") && has_arguments(2)) {
    return SubmitEdit(o, {{"kind", command},
                          {"place_kind", argument(1)},
                          {"place", argument(2)}});
  }
  if (command == "history" && arguments.size() <= 2)
    return History(o, argument(1));
  if (command == "rollback" && has_arguments(1)) {
    auto revision = ParseNumber<int64_t>(argument(1));
    if (!revision) return Fail(kUsageError, "the revision must be a number");
    return SubmitEdit(o, {{"kind", "rollback"}, {"revision", *revision}});
  }
  if (command == "status" && has_arguments(0)) return Status(o);
  if (command == "state" && has_arguments(0)) return State(o);
  if (command == "log-level" && has_arguments(1)) {
    json r, body = {{"level", argument(1)}};
    return CallAdminApi(o, "/v1/log_level", &body, &r);
  }
  if (command == "query" && arguments.size() >= 2) {
    return Query(o, argument(1), argument(2));
  }
  return Fail(
      kUsageError,
      fmt::format("unknown command or wrong arguments; commands are\n{}",
                  kCommands));
}

}  // namespace

int RunProgram(int argc, char** argv) {
  TCLAP::CmdLine cmd("baobabtray: operates a baobabtray tier. Commands:\n" +
                         std::string(kCommands),
                     ' ', BAOBABTRAY_VERSION);
  using value = TCLAP::ValueArg<std::string>;
  const char* user = getenv("USER");
  value admin("a", "admin", "admin address of any host", false,
              "127.0.0.1:7003", "IP:PORT", cmd);
  value callers("c", "callers", "callers' address of a host, for query", false,
                "127.0.0.1:7001", "IP:PORT", cmd);
  value token_file("t", "token-file", "file that holds the admin token", false,
                   "", "FILE", cmd);
  value by("", "by", "author of the edit, shown in the history", false,
           user == nullptr ? "operator" : user, "NAME", cmd);
  TCLAP::SwitchArg as_json("j", "json", "print JSON", cmd);
  TCLAP::SwitchArg dry_run("", "dry-run",
                           "validate an edit without applying it", cmd);
  TCLAP::ValueArg<int64_t> base(
      "", "base", "revision that the text is based on", false, -1, "N", cmd);
  TCLAP::ValueArg<int64_t> wait(
      "", "wait-ms", "how long to wait for confirmation by all hosts", false,
      5000, "N", cmd);
  TCLAP::ValueArg<int64_t> deadline("", "deadline-ms", "deadline of the query",
                                    false, 0, "N", cmd);
  TCLAP::UnlabeledMultiArg<std::string> arguments(
      "command", "command and arguments", true, "COMMAND", cmd);
  cmd.parse(argc, argv);
  options o{.admin = admin.getValue(),
            .callers = callers.getValue(),
            .author = by.getValue(),
            .as_json = as_json.getValue(),
            .dry_run = dry_run.getValue(),
            .base_revision = base.getValue(),
            .wait_ms = wait.getValue(),
            .deadline_ms = deadline.getValue()};
  if (!token_file.getValue().empty()) {
    if (!ReadFile(token_file.getValue(), &o.token)) {
      return Fail(kUsageError, "cannot read " + token_file.getValue());
    }
    o.token = o.token.substr(0, o.token.find('\n'));
  }
  curl_global_init(CURL_GLOBAL_ALL);
  return Dispatch(o, arguments.getValue());
}

}  // namespace baobabtray

int main(int argc, char** argv) {
  return baobabtray::RunMain(baobabtray::RunProgram, argc, argv, 1);
}
