// Kept connections on an Asio loop. See relay_client.h.
//
// A connection always has one read under way, idle or not, so a close by the
// server is noticed at once and costs no call before the next request.

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
  std::string last_id;  // of the request before
  micros idle_since = 0;
  reply_reader reader;
  std::array<char, kReadBytes> buffer;
};

uint64_t KeyOf(const tcp::endpoint& to) {
  return uint64_t{to.address().to_v4().to_uint()} << 16 | to.port();
}

}  // namespace

class relay_client::impl {
 public:
  explicit impl(asio::io_context& loop)
      : loop_(loop),
        deadlines_(loop, [this](uint64_t id, micros) { OnDeadline(id); }) {}

  ~impl() {
    while (!connections_.empty()) Close(*connections_.begin());
  }

  void SetMaxConnections(const endpoint& to, int connections) {
    if (pool* p = PoolOf(to)) p->most = std::max(1, connections);
  }

  int OpenConnections(const endpoint& to) {
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
    bool new_one = t->call.new_connection || t->probed;
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
    if (t->call.delay_first_send) return SendLater(c, t);
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
    c->reader.Begin({.id = t->call.id,
                     .id_header = t->call.id_header,
                     .last_id = c->last_id,
                     .no_body = t->call.no_reply_body});
    static const std::string kNoBody;
    const relay_call& call = t->call;
    const std::string& body = call.body == nullptr ? kNoBody : *call.body;
    std::array<asio::const_buffer, 4> parts = {
        asio::buffer(*call.head), asio::buffer(call.attempt_headers),
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
    *rest += t->call.attempt_headers + "\r\n";
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
    if (error == asio::error::eof && c->reader.started()) {
      return Parse(c, 0);  // may be the end of a body without a length
    }
    if (error) return Break(c, fetch_fault::kBroken);
    Parse(c, n);
  }

  // Takes what was read; no bytes mean the connection's end.
  void Parse(const connection_ref& c, size_t n) {
    size_t used = c->reader.Feed(c->buffer.data(), n);
    switch (c->reader.state()) {
      case reply_state::kReading:
        return Read(c);
      case reply_state::kWhole:
        return Finish(c, n > 0 && used == n);
      case reply_state::kCrossed:
        return Break(c, fetch_fault::kIdMismatch);
      case reply_state::kUnreadable:
        return Break(c, fetch_fault::kBroken);
    }
  }

  // The whole reply has come. `clean`: nothing came behind it.
  void Finish(const connection_ref& c, bool clean) {
    transfer_ref t = c->current;
    t->result = c->reader.TakeResult();
    if (micros idle = c->reader.idle_time(); idle != 0) {
      c->home->max_idle = std::clamp(idle - kIdleMargin, kSecond, kMaxIdle);
    }
    if (clean && c->reader.keeps_connection()) {
      c->last_id = t->call.id;
      Release(c);
      if (!c->closed) Read(c);
    } else {
      Detach(c);
    }
    End(t, fetch_fault::kNone);
  }

  void Break(const connection_ref& c, fetch_fault fault) {
    End(Detach(c), fault);
  }

  // ---- Ends ----------------------------------------------------------------

  // The connection becomes idle, or takes the next request that waits.
  void Release(const connection_ref& c) {
    pool* p = c->home;
    c->current->on = nullptr;
    c->current = nullptr;
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
    deadlines_.Add((at / kTick + 1) * kTick, id);
  }

  void OnDeadline(uint64_t id) {
    auto found = transfers_.find(id);
    if (found != transfers_.end()) CheckDeadline(found->second, SteadyNow());
  }

  void CheckDeadline(transfer_ref t, micros now) {
    const connection* c = t->on;
    micros patience = t->call.connect_timeout;
    if (c == nullptr && now >= t->start + patience) {
      CloseConnectionOf(t);
      return End(t, fetch_fault::kPoolTimeout);
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
  deadline_queue deadlines_;
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<pool>> pools_;
  std::unordered_map<uint64_t, transfer_ref> transfers_;
  std::unordered_set<connection_ref> connections_;
  uint64_t connections_opened_ = 0;
};

relay_client::relay_client(asio::io_context& loop) : impl_(new impl(loop)) {}
relay_client::~relay_client() = default;

void relay_client::SetMaxConnections(const endpoint& to, int connections) {
  impl_->SetMaxConnections(to, connections);
}

int relay_client::OpenConnections(const endpoint& to) {
  return impl_->OpenConnections(to);
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
