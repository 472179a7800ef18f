// Kept connections on an Asio loop, replies read by http_parser. See
// relay_client.h.
//
// A connection always has one read under way, idle or not, so a close by the
// server is noticed at once and costs no call before the next request.

#include "tray/http/relay_client.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <charconv>
#include <chrono>
#include <climits>
#include <deque>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "absl/strings/match.h"
#include "tray/base/alarm.h"
#include "tray/base/clock.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

using asio::ip::tcp;

// An idle connection older than this is not used again: middleboxes forget.
constexpr micros kMaxIdle = 30 * kSecond;
// Taken off the time that a server says it keeps idle connections: a request
// could cross its close.
constexpr micros kIdleMargin = 1 * kSecond;
// Unacknowledged data older than this closes the connection.
constexpr int kTcpUserTimeoutMs = 2000;
// Deadlines are looked at this often, for all requests at once. The relay ends
// its attempts by itself; this is for what it would not notice.
constexpr micros kTick = 50 * kMillisecond;
// Head and body of a usual part of a merged answer.
constexpr size_t kReadBytes = 4096;
// A reset may come this much later than the connection took to be made.
constexpr micros kSettleSlack = 500;
// Second replies to the request before that are read over, for one request.
constexpr int kMaxRepeats = 2;

struct connection;
using connection_ref = std::shared_ptr<connection>;

struct transfer {
  uint64_t id = 0;
  relay_call call;
  fetch_callback done;
  std::function<void(bool connected)> probed;  // set: a probe, nothing is sent
  fetch_result result;
  micros start = 0;
  connection* on = nullptr;  // that carries it; null: it waits for one
};
using transfer_ref = std::shared_ptr<transfer>;

struct pool {
  tcp::endpoint to;
  int most = relay_client::kDefaultConnections;
  int open = 0;  // connections, being made or made
  int made = 0;  // of these
  micros max_idle = kMaxIdle;
  std::vector<connection_ref> idle;  // newest last
  std::deque<transfer_ref> waiting;
};

// What the parser has found in the reply that is being read.
struct reply_state {
  bool started = false;   // a byte of it has come
  bool complete = false;  // its end has come
  bool in_value = false;  // the last header piece was of a value
  bool id_seen = false;
  bool id_right = false;
  bool repeat = false;  // a second reply to the request before
  bool crossed = false;
  bool too_large = false;
};

struct connection : public std::enable_shared_from_this<connection> {
  connection(asio::io_context& loop, pool* p)
      : socket(loop), home(p), begun(SteadyNow()) {}
  tcp::socket socket;
  pool* home;
  const micros begun;    // when it began to be made
  transfer_ref current;  // null: idle
  bool made = false;
  bool settling = false;  // made, nothing is sent yet
  bool closed = false;
  std::string last_id;
  int repeats = 0;
  micros idle_since = 0;
  http_parser parser;
  reply_state reply;
  std::array<char, kReadBytes> buffer;
};

bool SameName(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(ToAbsl(a), ToAbsl(b));
}

void StartReply(connection* c) {
  http_parser_init(&c->parser, HTTP_RESPONSE);
  c->parser.data = c;
  c->reply = {};
  c->current->result = {};
}

// Keeps the time after which the server closes idle connections.
void NoteKeepAlive(pool* p, std::string_view value) {
  constexpr std::string_view kTimeout = "timeout=";
  size_t at = value.find(kTimeout);
  if (at == std::string_view::npos) return;
  value.remove_prefix(at + kTimeout.size());
  int64_t seconds = 0;
  std::from_chars(value.data(), value.data() + value.size(), seconds);
  if (seconds <= 0) return;
  p->max_idle = std::clamp(seconds * kSecond - kIdleMargin, kSecond, kMaxIdle);
}

// ---- Callbacks of the parser, in the order of a reply ----------------------

int OnField(http_parser* parser, const char* at, size_t size) {
  auto* c = static_cast<connection*>(parser->data);
  auto& headers = c->current->result.headers;
  if (headers.empty() || c->reply.in_value) headers.emplace_back();
  c->reply.in_value = false;
  headers.back().first.append(at, size);
  return 0;
}

int OnValue(http_parser* parser, const char* at, size_t size) {
  auto* c = static_cast<connection*>(parser->data);
  c->reply.in_value = true;
  c->current->result.headers.back().second.append(at, size);
  return 0;
}

// Looks at the headers that concern the connection and the request's id.
// Returns 1 if the reply has no body.
int OnHead(http_parser* parser) {
  auto* c = static_cast<connection*>(parser->data);
  const transfer& t = *c->current;
  reply_state& reply = c->reply;
  for (const auto& [name, value] : t.result.headers) {
    if (SameName(name, "Keep-Alive")) NoteKeepAlive(c->home, value);
    if (!SameName(name, t.call.id_header)) continue;
    reply.id_right = value == t.call.id && (!reply.id_seen || reply.id_right);
    reply.repeat = !reply.id_seen && value == c->last_id;
    reply.id_seen = true;
  }
  bool interim = parser->status_code < 200;
  bool wrong = !t.call.id.empty() && !reply.id_right && !interim;
  // The end of a reply without a length is the connection's.
  bool framed =
      (parser->flags & F_CHUNKED) != 0 || parser->content_length != ULLONG_MAX;
  reply.repeat &= wrong && framed && c->repeats < kMaxRepeats;
  reply.crossed = wrong && !reply.repeat;
  return t.call.no_reply_body ? 1 : 0;
}

int OnBody(http_parser* parser, const char* at, size_t size) {
  auto* c = static_cast<connection*>(parser->data);
  std::string& body = c->current->result.body;
  c->reply.too_large = body.size() + size > kMaxReplyBytes;
  if (c->reply.too_large) return 1;
  body.append(at, size);
  return 0;
}

int OnEnd(http_parser* parser) {
  static_cast<connection*>(parser->data)->reply.complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& ParserSettings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_header_field = OnField;
    s.on_header_value = OnValue;
    s.on_headers_complete = OnHead;
    s.on_body = OnBody;
    s.on_message_complete = OnEnd;
    return s;
  }();
  return kSettings;
}

uint64_t KeyOf(const tcp::endpoint& to) {
  return uint64_t{to.address().to_v4().to_uint()} << 16 | to.port();
}

struct deadline_entry {
  micros at = 0;
  uint64_t id = 0;
  bool operator>(const deadline_entry& other) const { return at > other.at; }
};

}  // namespace

class relay_client::impl {
 public:
  explicit impl(asio::io_context& loop)
      : loop_(loop), alarm_(loop, [this] { RunDeadlines(); }) {}

  ~impl() {
    while (!connections_.empty()) Close(*connections_.begin());
  }

  void SetConnections(const endpoint& to, int connections) {
    if (pool* p = PoolOf(to)) p->most = std::max(1, connections);
  }

  int Connections(const endpoint& to) {
    pool* p = PoolOf(to);
    return p == nullptr ? 0 : p->made;
  }

  uint64_t Start(transfer_ref t) {
    t->id = next_id_++;
    t->start = SteadyNow();
    transfers_.emplace(t->id, t);
    pool* p = PoolOf(t->call.to);
    if (p == nullptr) {
      FailLater(std::move(t));
      return next_id_ - 1;
    }
    AddDeadline(t->start + t->call.timeout, t->id);
    Dispatch(p, std::move(t));
    return next_id_ - 1;
  }

  void Cancel(uint64_t id) {
    auto found = transfers_.find(id);
    if (found == transfers_.end()) return;
    transfer_ref t = std::move(found->second);
    transfers_.erase(found);
    CloseConnectionOf(t);
  }

  size_t in_flight() const { return transfers_.size(); }
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  // ---- Choice of a connection ----------------------------------------------

  // Null if `to` is no address.
  pool* PoolOf(const endpoint& to) {
    std::error_code error;
    auto address = asio::ip::make_address_v4(to.host, error);
    if (error) return nullptr;
    tcp::endpoint at(address, to.port);
    std::unique_ptr<pool>& p = pools_[KeyOf(at)];
    if (p == nullptr) {
      p = std::make_unique<pool>();
      p->to = at;
    }
    return p.get();
  }

  // Sends the request now, on a new connection, or when one becomes free.
  void Dispatch(pool* p, transfer_ref t) {
    bool new_one = t->call.fresh || t->probed;
    while (!new_one && !p->idle.empty()) {
      connection_ref c = p->idle.back();
      if (IsTooOld(*c)) {
        Close(c);
        continue;
      }
      p->idle.pop_back();
      if (Send(c, t)) return;
    }
    if (p->open >= p->most && new_one && !p->idle.empty()) {
      Close(p->idle.front());
    }
    if (p->open < p->most) return Connect(p, std::move(t));
    AddDeadline(t->start + t->call.connect_timeout, t->id);
    p->waiting.push_back(std::move(t));
  }

  // True also if there are more connections than the bound allows.
  static bool IsTooOld(const connection& c) {
    return SteadyNow() - c.idle_since > c.home->max_idle ||
           c.home->open > c.home->most;
  }

  void Connect(pool* p, transfer_ref t) {
    ++connections_opened_;
    ++p->open;
    auto c = std::make_shared<connection>(loop_, p);
    connections_.insert(c);
    Carry(c.get(), std::move(t));
    std::error_code error;
    c->socket.open(tcp::v4(), error);
    if (error) return FailLater(Detach(c));
    c->socket.non_blocking(true, error);
    c->socket.set_option(tcp::no_delay(true), error);
    using user_timeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    c->socket.set_option(user_timeout(kTcpUserTimeoutMs), error);
    const transfer& first = *c->current;
    AddDeadline(c->begun + first.call.connect_timeout, first.id);
    c->socket.async_connect(
        p->to, [this, c](std::error_code failed) { OnConnected(c, failed); });
  }

  static void Carry(connection* c, transfer_ref t) {
    t->on = c;
    c->current = std::move(t);
  }

  void OnConnected(const connection_ref& c, std::error_code error) {
    if (c->closed) return;
    transfer_ref t = c->current;
    if (error) {
      Detach(c);
      return End(t, fetch_fault::kNotSent);
    }
    c->made = true;
    ++c->home->made;
    Read(c);
    if (t->probed) return EndProbe(c, t);
    if (t->call.cautious) return SendLater(c, t);
    if (!Send(c, t)) End(t, fetch_fault::kNotSent);
  }

  void SendLater(const connection_ref& c, const transfer_ref& t) {
    c->settling = true;
    micros wait = SteadyNow() - c->begun + kSettleSlack;
    auto timer = std::make_shared<asio::steady_timer>(
        loop_, std::chrono::microseconds(wait));
    timer->async_wait([this, c, t, timer](std::error_code) {
      if (c->closed || c->current != t) return;
      c->settling = false;
      if (!Send(c, t)) End(t, fetch_fault::kNotSent);
    });
  }

  void EndProbe(const connection_ref& c, const transfer_ref& t) {
    Release(c);
    End(t, fetch_fault::kNone);
  }

  // ---- One request on one connection ---------------------------------------

  // Writes the request. False, and the connection is closed, if not one byte
  // was taken.
  bool Send(const connection_ref& c, const transfer_ref& t) {
    Carry(c.get(), t);
    StartReply(c.get());
    static const std::string kNoBody;
    const relay_call& call = t->call;
    const std::string& body = call.body == nullptr ? kNoBody : *call.body;
    std::array<asio::const_buffer, 4> parts = {
        asio::buffer(*call.head), asio::buffer(call.more_head),
        asio::buffer("\r\n", 2), asio::buffer(body)};
    std::error_code error;
    size_t sent = c->socket.send(parts, 0, error);
    if (error && error != asio::error::would_block) {
      Detach(c);
      return false;
    }
    if (sent < asio::buffer_size(parts)) SendRest(c, t, sent);
    return true;
  }

  void SendRest(const connection_ref& c, const transfer_ref& t, size_t sent) {
    auto rest = std::make_shared<std::string>(*t->call.head);
    *rest += t->call.more_head + "\r\n";
    if (t->call.body != nullptr) *rest += *t->call.body;
    // A failure shows in the read that is under way.
    asio::async_write(c->socket, asio::buffer(*rest) + sent,
                      [c, rest](std::error_code, size_t) {});
  }

  void Read(const connection_ref& c) {
    c->socket.async_read_some(
        asio::buffer(c->buffer),
        [this, c](std::error_code error, size_t n) { OnRead(c, error, n); });
  }

  void OnRead(const connection_ref& c, std::error_code error, size_t n) {
    if (c->closed) return;
    if (c->current == nullptr) return Close(c);  // closed, or stray bytes
    if (c->settling) return Break(c, fetch_fault::kNotSent);
    if (error == asio::error::eof && c->reply.started) {
      return Parse(c, 0);  // may be the end of a body without a length
    }
    if (error) return Break(c, fetch_fault::kBroken);
    Parse(c, n);
  }

  // Feeds what was read to the parser; no bytes mean the connection's end.
  void Parse(const connection_ref& c, size_t n) {
    c->reply.started = true;
    size_t used = 0;
    bool end_of_stream = n == 0;
    do {
      used += http_parser_execute(&c->parser, &ParserSettings(),
                                  c->buffer.data() + used, n - used);
      if (c->reply.crossed) return Break(c, fetch_fault::kCrossed);
      if (!c->reply.complete) break;
      if (!IsReadOver(c.get())) return Finish(c, used == n && !end_of_stream);
      StartReply(c.get());
      c->reply.started = used < n;
    } while (used < n);
    bool failed = HTTP_PARSER_ERRNO(&c->parser) != HPE_OK;
    if (failed || end_of_stream) return Break(c, fetch_fault::kBroken);
    Read(c);
  }

  // True if the complete reply is not the one that is waited for.
  static bool IsReadOver(connection* c) {
    if (c->parser.status_code < 200) return true;
    if (!c->reply.repeat) return false;
    ++c->repeats;
    return true;
  }

  // The whole reply has come. `clean`: nothing came behind it.
  void Finish(const connection_ref& c, bool clean) {
    transfer_ref t = c->current;
    t->result.status = c->parser.status_code;
    if (clean && http_should_keep_alive(&c->parser)) {
      c->last_id = t->call.id;
      Release(c);
      if (!c->closed) Read(c);
    } else {
      Detach(c);
    }
    End(t, fetch_fault::kNone);
  }

  void Break(const connection_ref& c, fetch_fault fault) {
    transfer_ref t = Detach(c);
    t->result = {};
    End(t, fault);
  }

  // ---- Ends ----------------------------------------------------------------

  // The connection becomes idle, or takes the next request that waits.
  void Release(const connection_ref& c) {
    pool* p = c->home;
    c->current->on = nullptr;
    c->current = nullptr;
    c->repeats = 0;
    if (p->open > p->most) return Close(c);
    c->idle_since = SteadyNow();
    p->idle.push_back(c);
    if (!p->waiting.empty()) ServeWaiting(p);
  }

  void ServeWaiting(pool* p) {
    if (p->waiting.empty()) return;
    transfer_ref t = std::move(p->waiting.front());
    p->waiting.pop_front();
    Dispatch(p, std::move(t));
  }

  // Closes the connection; returns what it was carrying.
  transfer_ref Detach(const connection_ref& c) {
    transfer_ref t = std::move(c->current);
    c->current = nullptr;
    t->on = nullptr;
    Close(c);
    return t;
  }

  void Close(connection_ref c) {
    if (c->closed) return;
    c->closed = true;
    std::error_code ignored;  // there is nothing to be done about a close
    c->socket.close(ignored);
    pool* p = c->home;
    --p->open;
    if (c->made) --p->made;
    std::erase(p->idle, c);
    connections_.erase(c);
    // Not from here: the caller is in the middle of something.
    if (!p->waiting.empty()) asio::post(loop_, [this, p] { ServeWaiting(p); });
  }

  void CloseConnectionOf(const transfer_ref& t) {
    if (t->on != nullptr) {
      Detach(t->on->shared_from_this());
      return;
    }
    if (pool* p = PoolOf(t->call.to)) std::erase(p->waiting, t);
  }

  void End(const transfer_ref& t, fetch_fault fault) {
    if (transfers_.erase(t->id) == 0) return;
    t->result.fault = fault;
    if (t->probed) return t->probed(fault == fetch_fault::kNone);
    t->done(std::move(t->result));
  }

  void FailLater(transfer_ref t) {
    asio::post(loop_, [this, t] { End(t, fetch_fault::kNotSent); });
  }

  // ---- Deadlines -----------------------------------------------------------

  void AddDeadline(micros at, uint64_t id) {
    at = (at / kTick + 1) * kTick;
    deadlines_.push({at, id});
    alarm_.ArmAt(deadlines_.top().at);
  }

  void RunDeadlines() {
    micros now = SteadyNow();
    while (!deadlines_.empty() && deadlines_.top().at <= now) {
      uint64_t id = deadlines_.top().id;
      deadlines_.pop();
      auto found = transfers_.find(id);
      if (found != transfers_.end()) CheckDeadline(found->second, now);
    }
    if (!deadlines_.empty()) alarm_.ArmAt(deadlines_.top().at);
  }

  void CheckDeadline(transfer_ref t, micros now) {
    const connection* c = t->on;
    micros patience = t->call.connect_timeout;
    if (c == nullptr && now >= t->start + patience) {
      CloseConnectionOf(t);
      return End(t, fetch_fault::kNoTurn);
    }
    if (c != nullptr && !c->made && now >= c->begun + patience) {
      CloseConnectionOf(t);
      return End(t, fetch_fault::kNotSent);
    }
    if (now < t->start + t->call.timeout) return;
    CloseConnectionOf(t);
    bool sent = c != nullptr && c->made && !c->settling;
    End(t, sent ? fetch_fault::kTimedOut : fetch_fault::kNotSent);
  }

  asio::io_context& loop_;
  alarm_clock alarm_;
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<pool>> pools_;
  std::unordered_map<uint64_t, transfer_ref> transfers_;
  std::unordered_set<connection_ref> connections_;
  std::priority_queue<deadline_entry, std::vector<deadline_entry>,
                      std::greater<deadline_entry>>
      deadlines_;
  uint64_t connections_opened_ = 0;
};

relay_client::relay_client(asio::io_context& loop) : impl_(new impl(loop)) {}
relay_client::~relay_client() = default;

void relay_client::SetConnections(const endpoint& to, int connections) {
  impl_->SetConnections(to, connections);
}

int relay_client::Connections(const endpoint& to) {
  return impl_->Connections(to);
}

uint64_t relay_client::Start(relay_call call, fetch_callback done) {
  auto t = std::make_shared<transfer>();
  t->call = std::move(call);
  t->done = std::move(done);
  return impl_->Start(std::move(t));
}

void relay_client::Probe(const endpoint& to, micros timeout,
                         std::function<void(bool connected)> done) {
  auto t = std::make_shared<transfer>();
  t->call = {.to = to, .timeout = timeout, .connect_timeout = timeout};
  t->probed = std::move(done);
  impl_->Start(std::move(t));
}

void relay_client::Cancel(uint64_t id) { impl_->Cancel(id); }

size_t relay_client::in_flight() const { return impl_->in_flight(); }

uint64_t relay_client::connections_opened() const {
  return impl_->connections_opened();
}

}  // namespace baobabtray
