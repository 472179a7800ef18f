// Persistent connections on an Asio loop. See relay_client.h.
//
// Each connection always has one read pending, even when idle, so that a close
// by the server is noticed at once and no check is needed before the next
// request.
//
// A reply may arrive before its request is written whole: a server may answer
// before it has read a long body. Such a connection is not idle. It goes back
// to its pool once the rest is written, and is closed if the request's deadline
// passes first.

#include "tray/http/relay_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <chrono>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "tray/base/clock.h"
#include "tray/base/deadline_timer.h"
#include "tray/http/reply_reader.h"

namespace baobabtray {
namespace {

using asio::ip::tcp;

// A connection idle for longer is not reused: NAT devices and firewalls drop
// the state of idle connections.
constexpr micros kMaxIdle = 30 * kSecond;
// Subtracted from a server's keep-alive timeout, since a request sent just
// before the server closes the connection would be lost.
constexpr micros kKeepAliveMargin = 1 * kSecond;
// TCP_USER_TIMEOUT: data unacknowledged for longer closes the connection.
constexpr int kTcpUserTimeoutMs = 2000;
// Deadlines are rounded up to multiples of this, so that requests share timer
// expiries. The relay times out its attempts itself; these coarser deadlines
// catch what it misses.
constexpr micros kDeadlineGranularity = 50 * kMillisecond;
// Fits headers and body of a typical part of a merged answer.
constexpr size_t kReadBytes = 4096;
// Replies with this status or a higher one report errors.
constexpr int kFirstErrorStatus = 400;
// A reset may arrive this much later than the time it took to connect.
constexpr micros kFirstSendMargin = 500;

struct connection;
using connection_ref = std::shared_ptr<connection>;

// A request of which the socket did not accept all bytes at once. Keeps the
// bytes until they are written.
struct partial_request {
  std::shared_ptr<const std::string> head;
  std::string attempt_headers;
  std::shared_ptr<const std::string> body;  // may be null
};

struct transfer {
  uint64_t id = 0;
  relay_call call;
  fetch_callback done;
  // If set, the transfer is a probe: it only connects and sends nothing.
  std::function<void(bool connected)> on_probe_done;
  fetch_result result;
  micros start = 0;
  connection* conn = nullptr;  // carries the request; null: waiting for one
};
using transfer_ref = std::shared_ptr<transfer>;

struct pool {
  tcp::endpoint to;
  int max_connections = relay_client::kDefaultConnections;
  int connections = 0;  // including those still connecting
  int connected = 0;    // of `connections`, those established
  micros max_idle = kMaxIdle;
  // Most recently used last. No write is pending on these.
  std::vector<connection_ref> idle;
  std::deque<transfer_ref> waiting;
};

struct connection : public std::enable_shared_from_this<connection> {
  connection(asio::io_context& loop, pool* p)
      : socket(loop), owning_pool(p), connect_start(SteadyNow()) {}
  tcp::socket socket;
  pool* owning_pool;
  const micros connect_start;  // when connecting started
  transfer_ref current;        // null: idle
  bool connected = false;
  bool first_send_delayed = false;  // established, first send is delayed
  bool closed = false;
  bool write_pending = false;  // part of the last request is not written yet
  // Id of the transfer whose reply arrived while the write was pending; 0:
  // none. The connection is then in `unwritten_` of its client and has no
  // transfer.
  uint64_t unwritten_id = 0;
  micros write_deadline = 0;  // of that transfer
  bool rejected = false;      // that reply was an error
  std::string previous_id;    // id of the previous request on it
  micros idle_since = 0;
  reply_reader reader;
  std::array<char, kReadBytes> buffer;
};

// The request as it is written, without copying it.
std::array<asio::const_buffer, 4> BuffersOf(const std::string& head,
                                            const std::string& attempt_headers,
                                            const std::string* body) {
  return {asio::buffer(head), asio::buffer(attempt_headers),
          asio::buffer("\r\n", 2),
          body == nullptr ? asio::const_buffer() : asio::buffer(*body)};
}

uint64_t PoolKey(const tcp::endpoint& to) {
  return uint64_t{to.address().to_v4().to_uint()} << 16 | to.port();
}

}  // namespace

class relay_client::impl {
 public:
  explicit impl(asio::io_context& loop)
      : loop_(loop),
        deadlines_(loop, [this](uint64_t id, micros) { OnDeadline(id); }) {}

  ~impl() {
    for (auto& [key, p] : pools_) p->waiting.clear();
    while (!connections_.empty()) Close(*connections_.begin());
  }

  void SetAccount(byte_account_ref account) { account_ = std::move(account); }

  void SetMaxConnections(const endpoint& to, int connections) {
    if (pool* p = GetPool(to)) p->max_connections = std::max(1, connections);
  }

  int OpenConnections(const endpoint& to) {
    pool* p = GetPool(to);
    return p == nullptr ? 0 : p->connected;
  }

  void CloseIdle(const endpoint& to) {
    pool* p = GetPool(to);
    while (p != nullptr && !p->idle.empty()) Close(p->idle.back());
  }

  uint64_t Start(transfer_ref t) {
    t->id = next_id_++;
    t->start = SteadyNow();
    transfers_.emplace(t->id, t);
    pool* p = GetPool(t->call.to);
    if (p == nullptr) {
      FailAsync(std::move(t), fetch_fault::kNotSent);
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
    CloseOrDequeue(t);
  }

  size_t in_flight() const { return transfers_.size(); }
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  // ---- Connection selection ------------------------------------------------

  // Returns null if `to` is not an IPv4 address.
  pool* GetPool(const endpoint& to) {
    std::error_code error;
    auto address = asio::ip::make_address_v4(to.host, error);
    if (error) return nullptr;
    tcp::endpoint at(address, to.port);
    std::unique_ptr<pool>& p = pools_[PoolKey(at)];
    if (p == nullptr) {
      p = std::make_unique<pool>();
      p->to = at;
    }
    return p.get();
  }

  // Sends the request on an idle connection, else on a new one if the limit
  // allows it, else queues it until one becomes free. If the limit is reached,
  // a connection whose request was rejected before it was written is closed for
  // it, and if the request needs a new connection, the oldest idle one.
  void Dispatch(pool* p, transfer_ref t) {
    if (!MaySend(*t)) return FailAsync(std::move(t), fetch_fault::kExpired);
    bool needs_new = t->call.new_connection || t->on_probe_done;
    while (!needs_new && !p->idle.empty()) {
      connection_ref c = p->idle.back();
      if (MustClose(*c)) {
        Close(c);
        continue;
      }
      p->idle.pop_back();
      if (TrySend(c, t)) return;
    }
    if (p->connections >= p->max_connections && needs_new && !p->idle.empty()) {
      Close(p->idle.front());
    }
    if (p->connections >= p->max_connections) CloseRejected(p);
    if (p->connections < p->max_connections) return Connect(p, std::move(t));
    AddDeadline(t->start + t->call.connect_timeout, t->id);
    p->waiting.push_back(std::move(t));
  }

  // Closes a connection on which the rest of a rejected request is being
  // written, if there is one. The server does not need the rest; that of a
  // request that it has served it may.
  void CloseRejected(pool* p) {
    for (const auto& [id, c] : unwritten_) {
      if (c->owning_pool == p && c->rejected) return Close(c);
    }
  }

  // What was true when the request was started may have ceased to be while it
  // waited for a connection.
  static bool MaySend(const transfer& t) {
    const relay_call& call = t.call;
    micros limit = call.send_within == 0
                       ? call.timeout
                       : std::min(call.timeout, call.send_within);
    return SteadyNow() <= t.start + limit &&
           (!call.may_send || call.may_send());
  }

  // Whether the connection was idle for too long or exceeds the limit.
  static bool MustClose(const connection& c) {
    return SteadyNow() - c.idle_since > c.owning_pool->max_idle ||
           c.owning_pool->connections > c.owning_pool->max_connections;
  }

  void Connect(pool* p, transfer_ref t) {
    ++connections_opened_;
    ++p->connections;
    auto c = std::make_shared<connection>(loop_, p);
    connections_.insert(c);
    c->reader.SetAccount(account_);
    Assign(c.get(), std::move(t));
    std::error_code error;
    c->socket.open(tcp::v4(), error);
    if (error) return FailAsync(CloseAndDetach(c), fetch_fault::kNotSent);
    c->socket.non_blocking(true, error);
    c->socket.set_option(tcp::no_delay(true), error);
    using user_timeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    c->socket.set_option(user_timeout(kTcpUserTimeoutMs), error);
    const transfer& first = *c->current;
    AddDeadline(c->connect_start + first.call.connect_timeout, first.id);
    c->socket.async_connect(
        p->to, [this, c](std::error_code failed) { OnConnected(c, failed); });
  }

  static void Assign(connection* c, transfer_ref t) {
    t->conn = c;
    c->current = std::move(t);
  }

  void OnConnected(const connection_ref& c, std::error_code error) {
    if (c->closed) return;
    transfer_ref t = c->current;
    if (error) {
      CloseAndDetach(c);
      return Complete(t, fetch_fault::kNotSent);
    }
    c->connected = true;
    ++c->owning_pool->connected;
    Read(c);
    if (t->call.delay_first_send) return SendAfterDelay(c, t);
    SendFirst(c, t);
  }

  // Sends the first request on a new connection.
  void SendFirst(const connection_ref& c, const transfer_ref& t) {
    if (t->on_probe_done) return CompleteProbe(c, t);
    if (!MaySend(*t)) {
      Detach(c);
      ReleaseToPool(c);
      return Complete(t, fetch_fault::kExpired);
    }
    if (!TrySend(c, t)) Complete(t, fetch_fault::kNotSent);
  }

  // See relay_call::delay_first_send.
  void SendAfterDelay(const connection_ref& c, const transfer_ref& t) {
    c->first_send_delayed = true;
    micros wait = SteadyNow() - c->connect_start + kFirstSendMargin;
    auto timer = std::make_shared<asio::steady_timer>(
        loop_, std::chrono::microseconds(wait));
    timer->async_wait([this, c, t, timer](std::error_code) {
      if (c->closed || c->current != t) return;
      c->first_send_delayed = false;
      SendFirst(c, t);
    });
  }

  void CompleteProbe(const connection_ref& c, const transfer_ref& t) {
    Detach(c);
    ReleaseToPool(c);
    Complete(t, fetch_fault::kNone);
  }

  // ---- Sending and receiving -----------------------------------------------

  // Writes the request. If the socket accepts no byte of it because of an
  // error, closes the connection and returns false.
  bool TrySend(const connection_ref& c, const transfer_ref& t) {
    Assign(c.get(), t);
    c->reader.Begin({.id = t->call.id,
                     .id_header = t->call.id_header,
                     .previous_id = c->previous_id,
                     .no_body = t->call.no_reply_body});
    const relay_call& call = t->call;
    auto buffers = BuffersOf(*call.head, call.attempt_headers, call.body.get());
    std::error_code error;
    size_t sent = c->socket.send(buffers, 0, error);
    if (error && error != asio::error::would_block) {
      CloseAndDetach(c);
      return false;
    }
    if (sent < asio::buffer_size(buffers)) SendRest(c, call, sent);
    return true;
  }

  // Writes the request from byte `sent` on.
  void SendRest(const connection_ref& c, const relay_call& call, size_t sent) {
    auto request = std::make_shared<partial_request>(
        partial_request{call.head, call.attempt_headers, call.body});
    std::vector<asio::const_buffer> rest;
    for (asio::const_buffer part : BuffersOf(
             *request->head, request->attempt_headers, request->body.get())) {
      size_t written = std::min(sent, part.size());
      sent -= written;
      rest.push_back(part + written);
    }
    c->write_pending = true;
    asio::async_write(c->socket, rest,
                      [this, c, request](std::error_code error, size_t) {
                        OnWritten(c, error);
                      });
  }

  void OnWritten(const connection_ref& c, std::error_code error) {
    if (c->closed) return;
    c->write_pending = false;
    // While the request is open, the pending read reports a failure.
    if (c->unwritten_id == 0) return;
    if (error) return Close(c);
    unwritten_.erase(c->unwritten_id);
    c->unwritten_id = 0;
    ReleaseToPool(c);
  }

  void Read(const connection_ref& c) {
    c->socket.async_read_some(
        asio::buffer(c->buffer),
        [this, c](std::error_code error, size_t n) { OnRead(c, error, n); });
  }

  void OnRead(const connection_ref& c, std::error_code error, size_t n) {
    if (c->closed) return;
    if (c->current == nullptr) return Close(c);  // closed, or unsolicited bytes
    if (c->first_send_delayed) {
      c->current->result.connection_rejected = true;
      return Fail(c, fetch_fault::kNotSent);
    }
    if (error == asio::error::eof && c->reader.started()) {
      return Parse(c, 0);  // may end a body without a length
    }
    if (error) return Fail(c, fetch_fault::kBroken);
    Parse(c, n);
  }

  // Parses the first `n` bytes of the buffer; 0 means end of the connection.
  void Parse(const connection_ref& c, size_t n) {
    size_t used = c->reader.Feed(c->buffer.data(), n);
    switch (c->reader.state()) {
      case reply_state::kReading:
        return Read(c);
      case reply_state::kComplete:
        return CompleteReply(c, n > 0 && used == n);
      case reply_state::kIdMismatch:
        return Fail(c, fetch_fault::kIdMismatch);
      case reply_state::kInvalid:
        c->current->result.over_account = c->reader.over_account();
        return Fail(c, fetch_fault::kBroken);
    }
  }

  // Completes the request with its reply. The connection is reused only if no
  // bytes followed the reply (`no_extra_bytes`).
  void CompleteReply(const connection_ref& c, bool no_extra_bytes) {
    transfer_ref t = c->current;
    t->result = c->reader.TakeResult();
    if (micros idle = c->reader.keep_alive_timeout(); idle != 0) {
      c->owning_pool->max_idle =
          std::clamp(idle - kKeepAliveMargin, kSecond, kMaxIdle);
    }
    if (no_extra_bytes && c->reader.keep_alive()) {
      c->previous_id = t->call.id;
      Detach(c);
      if (c->write_pending) {
        ReleaseOnceWritten(c, *t);
      } else {
        ReleaseToPool(c);
      }
      if (!c->closed) Read(c);
    } else {
      CloseAndDetach(c);
    }
    Complete(t, fetch_fault::kNone);
  }

  void Fail(const connection_ref& c, fetch_fault fault) {
    Complete(CloseAndDetach(c), fault);
  }

  // ---- Completion ----------------------------------------------------------

  static void Detach(const connection_ref& c) {
    c->current->conn = nullptr;
    c->current = nullptr;
  }

  // The reply to `t` is complete, but the request is not written whole.
  void ReleaseOnceWritten(const connection_ref& c, const transfer& t) {
    c->unwritten_id = t.id;
    c->write_deadline = t.start + t.call.timeout;
    c->rejected = t.result.status >= kFirstErrorStatus;
    unwritten_[t.id] = c;
    if (c->rejected && !c->owning_pool->waiting.empty()) Close(c);
  }

  // Returns the connection to the pool, and serves the next waiting request.
  // Nothing may be left to write.
  void ReleaseToPool(const connection_ref& c) {
    pool* p = c->owning_pool;
    if (p->connections > p->max_connections) return Close(c);
    c->idle_since = SteadyNow();
    p->idle.push_back(c);
    if (!p->waiting.empty()) DispatchWaiting(p);
  }

  // Dispatches the first waiting request that may still be sent.
  void DispatchWaiting(pool* p) {
    while (!p->waiting.empty()) {
      transfer_ref t = std::move(p->waiting.front());
      p->waiting.pop_front();
      if (MaySend(*t)) return Dispatch(p, std::move(t));
      FailAsync(std::move(t), fetch_fault::kExpired);
    }
  }

  // Closes the connection. Returns the transfer that it carried.
  transfer_ref CloseAndDetach(const connection_ref& c) {
    transfer_ref t = std::move(c->current);
    c->current = nullptr;
    t->conn = nullptr;
    Close(c);
    return t;
  }

  void Close(connection_ref c) {
    if (c->closed) return;
    c->closed = true;
    std::error_code ignored;  // a failed close cannot be handled
    c->socket.close(ignored);
    pool* p = c->owning_pool;
    --p->connections;
    if (c->connected) --p->connected;
    std::erase(p->idle, c);
    if (c->unwritten_id != 0) unwritten_.erase(c->unwritten_id);
    connections_.erase(c);
    // Posted, since the caller may be changing the pool or a transfer.
    if (!p->waiting.empty())
      asio::post(loop_, [this, p] { DispatchWaiting(p); });
  }

  void CloseOrDequeue(const transfer_ref& t) {
    if (t->conn != nullptr) {
      CloseAndDetach(t->conn->shared_from_this());
      return;
    }
    if (pool* p = GetPool(t->call.to)) std::erase(p->waiting, t);
  }

  void Complete(const transfer_ref& t, fetch_fault fault) {
    if (transfers_.erase(t->id) == 0) return;
    t->result.fault = fault;
    if (t->on_probe_done) return t->on_probe_done(fault == fetch_fault::kNone);
    t->done(std::move(t->result));
  }

  void FailAsync(transfer_ref t, fetch_fault fault) {
    asio::post(loop_, [this, t, fault] { Complete(t, fault); });
  }

  // ---- Deadlines -----------------------------------------------------------

  void AddDeadline(micros at, uint64_t id) {
    deadlines_.Add((at / kDeadlineGranularity + 1) * kDeadlineGranularity, id);
  }

  void OnDeadline(uint64_t id) {
    auto found = transfers_.find(id);
    if (found != transfers_.end())
      return CheckDeadline(found->second, SteadyNow());
    auto unwritten = unwritten_.find(id);
    if (unwritten == unwritten_.end()) return;
    connection_ref c = unwritten->second;
    if (SteadyNow() >= c->write_deadline) Close(c);
  }

  void CheckDeadline(transfer_ref t, micros now) {
    const connection* c = t->conn;
    micros connect_timeout = t->call.connect_timeout;
    if (c == nullptr && now >= t->start + connect_timeout) {
      CloseOrDequeue(t);
      return Complete(t, fetch_fault::kPoolTimeout);
    }
    if (c != nullptr && !c->connected &&
        now >= c->connect_start + connect_timeout) {
      CloseOrDequeue(t);
      return Complete(t, fetch_fault::kNotSent);
    }
    if (now < t->start + t->call.timeout) return;
    bool sent = c != nullptr && c->connected && !c->first_send_delayed;
    CloseOrDequeue(t);
    Complete(t, sent ? fetch_fault::kTimedOut : fetch_fault::kNotSent);
  }

  asio::io_context& loop_;
  byte_account_ref account_;
  deadline_queue deadlines_;
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<pool>> pools_;
  std::unordered_map<uint64_t, transfer_ref> transfers_;
  std::unordered_set<connection_ref> connections_;
  // By id of the transfer; see connection::unwritten_id.
  std::unordered_map<uint64_t, connection_ref> unwritten_;
  uint64_t connections_opened_ = 0;
};

relay_client::relay_client(asio::io_context& loop) : impl_(new impl(loop)) {}
relay_client::~relay_client() = default;

void relay_client::SetAccount(byte_account_ref account) {
  impl_->SetAccount(std::move(account));
}

void relay_client::SetMaxConnections(const endpoint& to, int connections) {
  impl_->SetMaxConnections(to, connections);
}

int relay_client::OpenConnections(const endpoint& to) {
  return impl_->OpenConnections(to);
}

void relay_client::CloseIdle(const endpoint& to) { impl_->CloseIdle(to); }

uint64_t relay_client::Start(relay_call call, fetch_callback done) {
  auto t = std::make_shared<transfer>();
  t->call = std::move(call);
  t->done = std::move(done);
  return impl_->Start(std::move(t));
}

void relay_client::Probe(const endpoint& to, micros timeout,
                         std::function<void(bool connected)> done) {
  auto t = std::make_shared<transfer>();
  t->call = {.to = to,
             .timeout = timeout,
             .connect_timeout = timeout,
             .delay_first_send = true};
  t->on_probe_done = std::move(done);
  impl_->Start(std::move(t));
}

void relay_client::Cancel(uint64_t id) { impl_->Cancel(id); }

size_t relay_client::in_flight() const { return impl_->in_flight(); }

uint64_t relay_client::connections_opened() const {
  return impl_->connections_opened();
}

}  // namespace baobabtray
