// libcurl's multi interface on an Asio loop. See fetch.h.
//
// Sockets are registered in an inner epoll set, whose descriptor is registered
// with Asio: a batch of ready sockets costs one wake-up of the loop, and each
// of libcurl's frequent changes of the events to poll for costs one epoll_ctl.
// The timers of all pools share one Asio timer.

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
#include "tray/http/status_line.h"

namespace baobabtray {
namespace {

// A connection idle for longer is not reused: NAT devices and firewalls drop
// the state of idle connections.
constexpr long kMaxIdleSeconds = 30;
// TCP_USER_TIMEOUT: data unacknowledged for longer closes the connection.
constexpr int kTcpUserTimeoutMs = 2000;
// Idle time before, and interval between, TCP keepalive probes. A dead
// connection is detected within this plus kTcpUserTimeoutMs.
constexpr long kTcpKeepaliveSeconds = 1;
constexpr int kMaxEventsPerWakeup = 64;

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
  for (const auto& [header, value] : result.headers) {
    if (header.size() == name.size() && HasPrefix(header, name)) return value;
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
        wakeup_timer_(loop, [this] { RunTimers(); }) {
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
    pool* p = GetPool(to);
    if (p->max_connections == connections) return;
    p->max_connections = connections;
    ApplyMaxConnections(p);
  }

  void SetAccount(byte_account_ref account) { account_ = std::move(account); }

  uint64_t Start(fetch_request request, fetch_callback done) {
    uint64_t id = next_id_++;
    auto t = std::make_unique<transfer>();
    t->id = id;
    t->request = std::move(request);
    t->done = std::move(done);
    t->owning_pool = GetPool(t->request.to);
    if (account_ != nullptr)
      t->result.charge = std::make_shared<byte_charge>(account_);
    t->easy = AcquireHandle();
    Configure(t.get());
    curl_multi_add_handle(t->owning_pool->multi, t->easy);
    transfers_.emplace(id, std::move(t));
    return id;
  }

  void Cancel(uint64_t id) {
    auto found = transfers_.find(id);
    if (found == transfers_.end()) return;
    std::unique_ptr<transfer> t = std::move(found->second);
    transfers_.erase(found);
    ReleaseHandle(t.get());
  }

  size_t in_flight() const { return transfers_.size(); }
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  struct pool {
    impl* owner = nullptr;
    CURLM* multi = nullptr;
    int max_connections = kDefaultConnections;
    long max_idle_seconds = kMaxIdleSeconds;  // lowered by Keep-Alive headers
    micros timer_at = 0;                      // 0: not set
    micros unanswered_at = 0;  // end of the last request without any answer
  };

  struct transfer {
    uint64_t id = 0;
    fetch_request request;
    fetch_callback done;
    pool* owning_pool = nullptr;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    fetch_result result;
    bool id_seen = false;
    bool id_mismatch = false;
    bool has_framing = false;  // has Content-Length or Transfer-Encoding
    // The empty line after the headers was received. libcurl reports a head
    // that breaks off at the end of the connection as a reply without a body.
    bool head_complete = false;
    size_t head_bytes = 0;  // received, with trailers and interim replies
    int send_count = 0;     // how often libcurl started to send the request

    // Called after the last header. Rejects a reply to another request, and one
    // without framing, whose end cannot be told from a truncation.
    bool AcceptHeaders() {
      if (!request.attempt_id.empty() && !id_seen) id_mismatch = true;
      head_complete = !id_mismatch && has_framing;
      return head_complete;
    }
  };

  pool* GetPool(const endpoint& to) {
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
    ApplyMaxConnections(p.get());
    return p.get();
  }

  void ApplyMaxConnections(pool* p) {
    long limit = std::max(1, p->max_connections);
    curl_multi_setopt(p->multi, CURLMOPT_MAXCONNECTS, limit);
    curl_multi_setopt(p->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, limit);
  }

  // Reuses the handle of a finished transfer if there is one.
  CURL* AcquireHandle() {
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
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                     t->owning_pool->max_idle_seconds);
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
      curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, kTcpKeepaliveSeconds);
      curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, kTcpKeepaliveSeconds);
    }
    if (r.avoid_silent) AvoidSilentConnections(t);
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

  // See fetch_request::avoid_silent.
  static void AvoidSilentConnections(transfer* t) {
    const pool& p = *t->owning_pool;
    if (p.unanswered_at == 0) return;
    // libcurl compares ages in whole seconds.
    long max_idle = (SteadyNow() - p.unanswered_at) / kSecond - 1;
    if (max_idle < 1) {
      curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT, 1L);
    } else if (max_idle < p.max_idle_seconds) {
      curl_easy_setopt(t->easy, CURLOPT_MAXAGE_CONN, max_idle);
    }
  }

  // Removes a transfer from libcurl. Closes its connection if it is unfinished.
  void ReleaseHandle(transfer* t) {
    curl_multi_remove_handle(t->owning_pool->multi, t->easy);
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

  // libcurl calls this on an established connection, before each time that it
  // sends the request.
  static int OnBeforeSend(void* arg, char*, char*, int, int) {
    auto* t = static_cast<transfer*>(arg);
    ++t->send_count;
    return CURL_PREREQFUNC_OK;
  }

  // Sets the idle limit to the server's keep-alive timeout less one second,
  // since a request sent just before the server closes the connection would be
  // lost.
  static void UpdateMaxIdle(pool* p, std::string_view value) {
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
    fetch_result& r = t->result;
    if (r.charge == nullptr) {
      r.body.append(data, size * count);
      return size * count;
    }
    return AppendCharged(&r.body, data, size * count, kMaxReplyBytes, 0,
                         r.charge.get())
               ? size * count
               : 0;
  }

  static size_t OnHeader(char* data, size_t size, size_t count, void* arg) {
    auto* t = static_cast<transfer*>(arg);
    std::string_view line(data, size * count);
    t->head_bytes += line.size();
    if (t->head_bytes > kMaxReplyHeadBytes) return 0;
    if (HasPrefix(line, "http/")) {
      status_line_check status;
      CheckStatusLine(line, &status);
      if (status.result != status_check::kValid) return 0;
    }
    if (line == "\r\n") return t->AcceptHeaders() ? size * count : 0;
    size_t colon = line.find(':');
    if (colon == std::string_view::npos) return size * count;
    if (HasPrefix(line, "content-length:") ||
        HasPrefix(line, "transfer-encoding:")) {
      t->has_framing = true;
    }
    std::string_view name = line.substr(0, colon);
    std::string_view value = Trim(line.substr(colon + 1));
    if (HasPrefix(line, "keep-alive:")) UpdateMaxIdle(t->owning_pool, value);
    const std::string& kept = t->request.kept_header;
    bool is_kept = name.size() == kept.size() && HasPrefix(name, kept);
    if (!HasPrefix(line, "x-") && !is_kept) return size * count;
    if (!t->request.attempt_id.empty() &&
        name.size() == kAttemptIdHeader.size() &&
        HasPrefix(name, kAttemptIdHeader)) {
      t->id_seen = true;
      if (value != t->request.attempt_id) t->id_mismatch = true;
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
    bool registered = watched_.contains(fd);
    watched_[fd] = p;
    epoll_ctl(epoll_.native_handle(),
              registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
  }

  void SetTimer(pool* p, micros at) {
    if (p->timer_at != 0) pool_timers_.erase({p->timer_at, p});
    p->timer_at = at;
    if (at != 0) pool_timers_.insert({at, p});
    if (!closing_ && !pool_timers_.empty())
      wakeup_timer_.ArmAt(pool_timers_.begin()->first);
  }

  void RunTimers() {
    micros now = SteadyNow();
    while (!pool_timers_.empty() && pool_timers_.begin()->first <= now) {
      pool* p = pool_timers_.begin()->second;
      pool_timers_.erase(pool_timers_.begin());
      p->timer_at = 0;
      int running = 0;
      curl_multi_socket_action(p->multi, CURL_SOCKET_TIMEOUT, 0, &running);
      CompleteTransfers(p);
    }
    if (!pool_timers_.empty()) wakeup_timer_.ArmAt(pool_timers_.begin()->first);
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
    std::array<epoll_event, kMaxEventsPerWakeup> events;
    int count = epoll_wait(epoll_.native_handle(), events.data(),
                           kMaxEventsPerWakeup, 0);
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
      CompleteTransfers(p);
    }
  }

  // Completes the finished transfers of a pool.
  void CompleteTransfers(pool* p) {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(p->multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      CURLcode code = message->data.result;
      transfer* raw = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &raw);
      auto found = transfers_.find(raw->id);
      std::unique_ptr<transfer> t = std::move(found->second);
      transfers_.erase(found);
      SetFault(t.get(), code);
      if (t->result.fault == fetch_fault::kTimedOut && t->head_bytes == 0)
        p->unanswered_at = SteadyNow();
      ReleaseHandle(t.get());
      t->done(std::move(t->result));
    }
  }

  static void SetFault(transfer* t, CURLcode code) {
    long status = 0;
    curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
    t->result.status = static_cast<int>(status);
    if (code == CURLE_OK && t->head_complete) {
      t->result.fault = fetch_fault::kNone;
    } else if (t->id_mismatch) {
      t->result.fault = fetch_fault::kIdMismatch;
    } else if (t->send_count == 0) {
      t->result.fault = fetch_fault::kNotSent;
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
      t->result.fault = fetch_fault::kTimedOut;
    } else {
      t->result.fault = fetch_fault::kBroken;
    }
  }

  asio::io_context& loop_;
  asio::posix::stream_descriptor epoll_;
  deadline_timer wakeup_timer_;
  bool closing_ = false;
  byte_account_ref account_;
  uint64_t next_id_ = 1;
  std::map<std::pair<std::string, uint16_t>, std::unique_ptr<pool>> pools_;
  std::unordered_map<uint64_t, std::unique_ptr<transfer>> transfers_;
  std::unordered_map<int, pool*> watched_;
  std::set<std::pair<micros, pool*>> pool_timers_;
  std::vector<CURL*> idle_handles_;
  uint64_t connections_opened_ = 0;
};

fetcher::fetcher(asio::io_context& loop) : impl_(new impl(loop)) {}
fetcher::~fetcher() = default;

void fetcher::SetMaxConnections(const endpoint& to, int connections) {
  impl_->SetMaxConnections(to, connections);
}

void fetcher::SetAccount(byte_account_ref account) {
  impl_->SetAccount(std::move(account));
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
