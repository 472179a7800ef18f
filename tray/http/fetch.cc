// libcurl's multi interface on an Asio loop. See fetch.h.
//
// Sockets are watched by one inner epoll set, which Asio watches in turn: a
// batch of ready sockets costs one wake-up of the loop, and libcurl's frequent
// changes of interest cost one epoll_ctl each. Timers of all pools share one
// Asio timer.

#include "tray/http/fetch.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>

#include "absl/strings/str_replace.h"
#include "tray/base/clock.h"
#include "tray/base/deadline_timer.h"

namespace baobabtray {
namespace {

// An idle connection older than this is not used again: middleboxes forget.
constexpr long kMaxIdleSeconds = 30;
// Unacknowledged data older than this closes the connection.
constexpr int kTcpUserTimeoutMs = 2000;
// A silent connection is found within this and kTcpUserTimeoutMs.
constexpr long kKeepAliveSeconds = 1;
constexpr int kEventsPerRound = 64;

bool HasPrefix(std::string_view line, std::string_view prefix) {
  return line.size() >= prefix.size() &&
         strncasecmp(line.data(), prefix.data(), prefix.size()) == 0;
}

std::string_view Trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) {
    s.remove_prefix(1);
  }
  while (!s.empty() &&
         (s.back() == '\r' || s.back() == '\n' || s.back() == ' ')) {
    s.remove_suffix(1);
  }
  return s;
}

}  // namespace

std::string_view HeaderOf(const fetch_result& result, std::string_view name) {
  for (const auto& [known, value] : result.headers) {
    if (known.size() == name.size() && HasPrefix(known, name)) return value;
  }
  return "";
}

std::string EscapeForQuery(std::string_view text) {
  char* escaped =
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  std::string result = escaped == nullptr ? "" : escaped;
  curl_free(escaped);
  return absl::StrReplaceAll(result, {{"%2F", "/"}});
}

class fetcher::impl {
 public:
  explicit impl(asio::io_context& loop)
      : loop_(loop),
        epoll_(loop, epoll_create1(EPOLL_CLOEXEC)),
        alarm_(loop, [this] { RunTimers(); }) {
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
    WaitForEvents();
  }

  ~impl() {
    closing_ = true;
    while (!transfers_.empty()) Cancel(transfers_.begin()->first);
    for (CURL* easy : idle_handles_) curl_easy_cleanup(easy);
    for (auto& [to, p] : pools_) curl_multi_cleanup(p->multi);
  }

  void SetMaxConnections(const endpoint& to, int connections) {
    pool* p = PoolOf(to);
    if (p->connections == connections) return;
    p->connections = connections;
    ApplyConnections(p);
  }

  uint64_t Start(fetch_request request, fetch_callback done) {
    uint64_t id = next_id_++;
    auto t = std::make_unique<transfer>();
    t->id = id;
    t->request = std::move(request);
    t->done = std::move(done);
    t->home = PoolOf(t->request.to);
    t->easy = TakeHandle();
    Configure(t.get());
    curl_multi_add_handle(t->home->multi, t->easy);
    transfers_.emplace(id, std::move(t));
    return id;
  }

  void Cancel(uint64_t id) {
    auto found = transfers_.find(id);
    if (found == transfers_.end()) return;
    std::unique_ptr<transfer> t = std::move(found->second);
    transfers_.erase(found);
    Release(t.get());
  }

  size_t in_flight() const { return transfers_.size(); }
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  struct pool {
    impl* owner = nullptr;
    CURLM* multi = nullptr;
    int connections = kDefaultConnections;
    long max_idle_seconds = kMaxIdleSeconds;  // lowered by Keep-Alive headers
    micros timer_at = 0;                      // 0: none
  };

  struct transfer {
    uint64_t id = 0;
    fetch_request request;
    fetch_callback done;
    pool* home = nullptr;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    fetch_result result;
    bool id_seen = false;
    bool id_wrong = false;
    bool framed = false;  // the reply states where its body ends
    int sends = 0;        // times that libcurl was about to send the request

    // At the end of the head: refuses a reply to another request, and one whose
    // end could not be told from a cut.
    bool AcceptHead() {
      if (!request.attempt_id.empty() && !id_seen) id_wrong = true;
      return !id_wrong && framed;
    }
  };

  pool* PoolOf(const endpoint& to) {
    std::unique_ptr<pool>& p = pools_[{to.host, to.port}];
    if (p != nullptr) return p.get();
    p = std::make_unique<pool>();
    p->owner = this;
    p->multi = curl_multi_init();
    curl_multi_setopt(p->multi, CURLMOPT_SOCKETFUNCTION, OnSocket);
    curl_multi_setopt(p->multi, CURLMOPT_SOCKETDATA, p.get());
    curl_multi_setopt(p->multi, CURLMOPT_TIMERFUNCTION, OnTimer);
    curl_multi_setopt(p->multi, CURLMOPT_TIMERDATA, p.get());
    curl_multi_setopt(p->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    ApplyConnections(p.get());
    return p.get();
  }

  void ApplyConnections(pool* p) {
    long most = std::max(1, p->connections);
    curl_multi_setopt(p->multi, CURLMOPT_MAXCONNECTS, most);
    curl_multi_setopt(p->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, most);
  }

  CURL* TakeHandle() {
    if (idle_handles_.empty()) return curl_easy_init();
    CURL* easy = idle_handles_.back();
    idle_handles_.pop_back();
    curl_easy_reset(easy);
    return easy;
  }

  void Configure(transfer* t) {
    CURL* easy = t->easy;
    const fetch_request& r = t->request;
    std::string url =
        fmt::format("http://{}:{}{}", r.to.host, r.to.port, r.path);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, t);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, r.path.c_str());
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(r.connect_timeout / kMillisecond + 1));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(r.timeout / kMillisecond + 1));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, t->home->max_idle_seconds);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, OnNewSocket);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, t);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, t);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, t);
    if (r.tcp_keepalive) {
      curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
      curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, kKeepAliveSeconds);
      curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, kKeepAliveSeconds);
    }
    if (r.new_connection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    bool has_body = r.body != nullptr && !r.body->empty();
    if (r.method == "GET" && !has_body) {
      curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    } else if (r.method == "HEAD") {
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      if (r.method != "POST") {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, r.method.c_str());
      }
      std::string_view body =
          r.body == nullptr ? std::string_view() : std::string_view(*r.body);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                       body.data() ? body.data() : "");
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(body.size()));
      t->headers = curl_slist_append(t->headers, "Expect:");
      std::string line =
          fmt::format("Content-Type:{}{}", r.content_type.empty() ? "" : " ",
                      r.content_type);
      t->headers = curl_slist_append(t->headers, line.c_str());
    }
    for (const std::string& h : r.headers) {
      t->headers = curl_slist_append(t->headers, h.c_str());
    }
    if (!r.attempt_id.empty()) {
      std::string line = fmt::format("{}: {}", kAttemptIdHeader, r.attempt_id);
      t->headers = curl_slist_append(t->headers, line.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, t->headers);
  }

  // Takes a transfer out of libcurl. If it is not done its connection closes.
  void Release(transfer* t) {
    curl_multi_remove_handle(t->home->multi, t->easy);
    curl_slist_free_all(t->headers);
    t->headers = nullptr;
    idle_handles_.push_back(t->easy);
  }

  static int OnNewSocket(void* arg, curl_socket_t fd, curlsocktype) {
    ++static_cast<impl*>(arg)->connections_opened_;
    int timeout = kTcpUserTimeoutMs;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    return CURL_SOCKOPT_OK;
  }

  // Called on a usable connection, before each time the request is sent.
  static int OnBeforeSend(void* arg, char*, char*, int, int) {
    auto* t = static_cast<transfer*>(arg);
    ++t->sends;
    return CURL_PREREQFUNC_OK;
  }

  // Keeps the time after which the server closes idle connections, less a
  // second in which a request could cross that close.
  static void NoteKeepAlive(pool* p, std::string_view value) {
    constexpr std::string_view kTimeout = "timeout=";
    size_t at = value.find(kTimeout);
    if (at == std::string_view::npos) return;
    long seconds =
        std::atol(std::string(value.substr(at + kTimeout.size())).c_str());
    if (seconds <= 0) return;
    p->max_idle_seconds = std::clamp(seconds - 1, 1L, kMaxIdleSeconds);
  }

  static size_t OnBody(char* data, size_t size, size_t count, void* arg) {
    auto* t = static_cast<transfer*>(arg);
    if (t->result.body.size() + size * count > kMaxReplyBytes) return 0;
    t->result.body.append(data, size * count);
    return size * count;
  }

  static size_t OnHeader(char* data, size_t size, size_t count, void* arg) {
    auto* t = static_cast<transfer*>(arg);
    std::string_view line(data, size * count);
    if (line == "\r\n") return t->AcceptHead() ? size * count : 0;
    size_t colon = line.find(':');
    if (colon == std::string_view::npos) return size * count;
    if (HasPrefix(line, "content-length:") ||
        HasPrefix(line, "transfer-encoding:")) {
      t->framed = true;
    }
    std::string_view name = line.substr(0, colon);
    std::string_view value = Trim(line.substr(colon + 1));
    if (HasPrefix(line, "keep-alive:")) NoteKeepAlive(t->home, value);
    if (!HasPrefix(line, "x-")) return size * count;
    if (!t->request.attempt_id.empty() &&
        name.size() == kAttemptIdHeader.size() &&
        HasPrefix(name, kAttemptIdHeader)) {
      t->id_seen = true;
      if (value != t->request.attempt_id) t->id_wrong = true;
    }
    t->result.headers.emplace_back(name, value);
    return size * count;
  }

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* arg, void*) {
    auto* p = static_cast<pool*>(arg);
    p->owner->Watch(p, fd, what);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* arg) {
    auto* p = static_cast<pool*>(arg);
    micros at = timeout_ms < 0 ? 0 : SteadyNow() + timeout_ms * kMillisecond;
    p->owner->SetTimer(p, at);
    return 0;
  }

  void Watch(pool* p, curl_socket_t fd, int what) {
    if (what == CURL_POLL_REMOVE) {
      epoll_ctl(epoll_.native_handle(), EPOLL_CTL_DEL, fd, nullptr);
      watched_.erase(fd);
      return;
    }
    epoll_event event = {};
    if (what & CURL_POLL_IN) event.events |= EPOLLIN;
    if (what & CURL_POLL_OUT) event.events |= EPOLLOUT;
    event.data.fd = fd;
    bool known = watched_.contains(fd);
    watched_[fd] = p;
    epoll_ctl(epoll_.native_handle(), known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd,
              &event);
  }

  void SetTimer(pool* p, micros at) {
    if (p->timer_at != 0) timers_.erase({p->timer_at, p});
    p->timer_at = at;
    if (at != 0) timers_.insert({at, p});
    if (!closing_ && !timers_.empty()) alarm_.ArmAt(timers_.begin()->first);
  }

  void RunTimers() {
    micros now = SteadyNow();
    while (!timers_.empty() && timers_.begin()->first <= now) {
      pool* p = timers_.begin()->second;
      timers_.erase(timers_.begin());
      p->timer_at = 0;
      int running = 0;
      curl_multi_socket_action(p->multi, CURL_SOCKET_TIMEOUT, 0, &running);
      Collect(p);
    }
    if (!timers_.empty()) alarm_.ArmAt(timers_.begin()->first);
  }

  void WaitForEvents() {
    epoll_.async_wait(asio::posix::stream_descriptor::wait_read,
                      [this](std::error_code error) {
                        if (error) return;
                        RunEvents();
                        WaitForEvents();
                      });
  }

  void RunEvents() {
    std::array<epoll_event, kEventsPerRound> events;
    int count =
        epoll_wait(epoll_.native_handle(), events.data(), kEventsPerRound, 0);
    for (int i = 0; i < count; ++i) {
      auto found = watched_.find(events[i].data.fd);
      if (found == watched_.end()) continue;
      pool* p = found->second;
      int mask = 0;
      if (events[i].events & EPOLLIN) mask |= CURL_CSELECT_IN;
      if (events[i].events & EPOLLOUT) mask |= CURL_CSELECT_OUT;
      if (events[i].events & (EPOLLERR | EPOLLHUP)) mask |= CURL_CSELECT_ERR;
      int running = 0;
      curl_multi_socket_action(p->multi, events[i].data.fd, mask, &running);
      Collect(p);
    }
  }

  // Hands over the transfers of a pool that are done.
  void Collect(pool* p) {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(p->multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      CURLcode code = message->data.result;
      transfer* raw = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &raw);
      auto found = transfers_.find(raw->id);
      std::unique_ptr<transfer> t = std::move(found->second);
      transfers_.erase(found);
      Conclude(t.get(), code);
      Release(t.get());
      t->done(std::move(t->result));
    }
  }

  static void Conclude(transfer* t, CURLcode code) {
    long status = 0;
    curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
    t->result.status = static_cast<int>(status);
    if (code == CURLE_OK) {
      t->result.fault = fetch_fault::kNone;
    } else if (t->id_wrong) {
      t->result.fault = fetch_fault::kIdMismatch;
    } else if (t->sends == 0) {
      t->result.fault = fetch_fault::kNotSent;
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
      t->result.fault = fetch_fault::kTimedOut;
    } else {
      t->result.fault = fetch_fault::kBroken;
    }
  }

  asio::io_context& loop_;
  asio::posix::stream_descriptor epoll_;
  deadline_timer alarm_;
  bool closing_ = false;
  uint64_t next_id_ = 1;
  std::map<std::pair<std::string, uint16_t>, std::unique_ptr<pool>> pools_;
  std::unordered_map<uint64_t, std::unique_ptr<transfer>> transfers_;
  std::unordered_map<int, pool*> watched_;
  std::set<std::pair<micros, pool*>> timers_;
  std::vector<CURL*> idle_handles_;
  uint64_t connections_opened_ = 0;
};

fetcher::fetcher(asio::io_context& loop) : impl_(new impl(loop)) {}
fetcher::~fetcher() = default;

void fetcher::SetMaxConnections(const endpoint& to, int connections) {
  impl_->SetMaxConnections(to, connections);
}

uint64_t fetcher::Start(fetch_request request, fetch_callback done) {
  return impl_->Start(std::move(request), std::move(done));
}

void fetcher::Cancel(uint64_t id) { impl_->Cancel(id); }

size_t fetcher::in_flight() const { return impl_->in_flight(); }

uint64_t fetcher::connections_opened() const {
  return impl_->connections_opened();
}

}  // namespace baobabtray
