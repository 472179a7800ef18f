// HTTP server on Asio. See serve.h.
//
// A connection reads into a buffer that all connections of a server share, when
// its socket has bytes, and keeps only what request_reader keeps. It carries up
// to two requests: the next one is read while one is handled if a close must be
// noticed, else not. Bytes behind them are kept, charged, and no more is read.
//
// A response is written at once where the socket takes it, with one system
// call. What it does not take is charged to the account, or the connection is
// closed. Time limits are checked by one timer for all connections.

#include "tray/http/serve.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <deque>
#include <unordered_set>

#include "absl/strings/match.h"
#include "tray/base/clock.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/http/request_reader.h"

namespace baobabtray {
namespace {

using asio::ip::tcp;

// Bytes that are read with one call.
constexpr size_t kReadBytes = 64 << 10;
// Reads on one connection before others have their turn.
constexpr int kReadsPerTurn = 8;
// A request takes at most this long from its first byte to its last, and no
// pause within it is longer than kMaxPause.
constexpr micros kMaxRequestTime = 60 * kSecond;
constexpr micros kMaxPause = 10 * kSecond;
// Time for a head, so that bytes now and then do not hold a connection.
constexpr micros kMaxHeadTime = 10 * kSecond;
// Handling a request takes at most this long.
constexpr micros kMaxHandlingTime = 700 * kSecond;
// Writing a response takes at most this long.
constexpr micros kMaxWriteTime = 30 * kSecond;
// A refused client may still be sending. Closing with unread bytes would reset
// the connection, and the client might lose the response, so that up to this
// much is read and dropped first.
constexpr micros kMaxLinger = 3 * kSecond;
constexpr size_t kMaxLingerBytes = 16 << 20;
constexpr size_t kMaxLingerHeadBytes = 64 << 10;  // behind a refused head
// How often the time limits are checked; more often if they are shorter.
constexpr micros kSweepInterval = 5 * kSecond;
// Wait after an accept that failed.
constexpr micros kAcceptPause = 100 * kMillisecond;
// A connection that has been idle for less is not closed for a new one.
constexpr micros kMinIdleToClose = 5 * kSecond;
// At most one log line in this time for each client_fault.
constexpr micros kFaultLogInterval = 10 * kSecond;

using reuse_port_option =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Reason phrase of a status that the tier itself sends; otherwise a generic
// one.
std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return status < 400 ? "OK" : "Error";
  }
}

std::string ResponseHead(const http_response& r, bool close) {
  std::string head;
  size_t size = 128 + r.content_type.size();
  for (const auto& [name, value] : r.headers)
    size += name.size() + value.size() + 4;
  head.reserve(size);
  fmt::format_to(std::back_inserter(head),
                 "HTTP/1.1 {} {}\r\nConnection: {}\r\nContent-Length: {}\r\n",
                 r.status, ReasonPhrase(r.status),
                 close ? "close" : "keep-alive", r.body.size());
  auto add = [&head](std::string_view name, std::string_view value) {
    head.append(name).append(": ").append(value).append("\r\n");
  };
  if (!r.content_type.empty()) add("Content-Type", r.content_type);
  for (const auto& [name, value] : r.headers) add(name, value);
  return head.append("\r\n");
}

http_response Refusal(int status, std::string_view code,
                      std::string_view message) {
  return {.status = status,
          .body = fmt::format(R"({{"error":{{"code":"{}","message":)"
                              R"("{}","outcome":"not_run"}}}})",
                              code, message),
          .close = true};
}

// Counts a request from its arrival until its response is written, or until it
// can't be written.
class request_count {
 public:
  explicit request_count(std::shared_ptr<std::atomic<int>> count)
      : count_(std::move(count)) {
    ++*count_;
  }
  ~request_count() { --*count_; }
  request_count(const request_count&) = delete;
  request_count& operator=(const request_count&) = delete;

 private:
  std::shared_ptr<std::atomic<int>> count_;
};
using request_count_ref = std::shared_ptr<request_count>;

// A request that has been read, until its response is written.
struct exchange {
  micros start = 0;
  bool head_only = false;  // a HEAD request
  bool keep_alive = false;
  bool answered = false;
  bool refused = false;  // the rest of the request has not been read
  std::string head;
  std::string body;
  size_t written = 0;
  byte_charge reply_charge;  // of what can't be written at once
  request_count_ref counted;
};
using exchange_ref = std::shared_ptr<exchange>;

class connection;
using connection_ref = std::shared_ptr<connection>;

// What the connections of a server share.
struct server_state {
  server_state(asio::io_context& l, const serve_options& o, http_handler h)
      : loop(l),
        options(o),
        handler(std::move(h)),
        acceptor(l),
        accept_timer(l),
        sweep_timer(l) {}

  asio::io_context& loop;
  serve_options options;
  http_handler handler;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  asio::steady_timer sweep_timer;
  bool sweeping = false;
  uint64_t last_connection_id = 0;
  std::unordered_set<connection_ref> connections;  // that are open
  std::array<char, kReadBytes> buffer;
  std::array<micros, kClientFaultNames.size()> fault_logged_at = {};
  std::array<uint64_t, kClientFaultNames.size()> faults_unlogged = {};
  // Shared with responders, which may outlive the server.
  std::shared_ptr<std::atomic<int>> unanswered =
      std::make_shared<std::atomic<int>>(0);
};
using server_ref = std::shared_ptr<server_state>;

void ReportFault(server_state* s, client_fault fault,
                 const std::string& client) {
  if (s->options.on_fault) s->options.on_fault(fault);
  auto index = static_cast<size_t>(fault);
  uint64_t count = ++s->faults_unlogged[index];
  micros now = SteadyNow();
  micros& logged_at = s->fault_logged_at[index];
  if (logged_at != 0 && now - logged_at < kFaultLogInterval) return;
  logged_at = now;
  s->faults_unlogged[index] = 0;
  Log(log_level::kWarning, "client_refused",
      {{"reason", std::string(NameOf(kClientFaultNames, fault))},
       {"listener", ToString(s->options.listen)},
       {"client", client},
       {"count", std::to_string(count)}});
}

class connection : public std::enable_shared_from_this<connection> {
 public:
  connection(server_ref server, tcp::socket socket, uint64_t id)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        id_(id),
        reader_({.max_head_bytes = server_->options.max_header_bytes,
                 .max_body_bytes = server_->options.max_body_bytes}),
        last_activity_(SteadyNow()) {
    reader_.Begin(byte_charge(server_->options.account));
  }

  void Start() {
    std::error_code error;
    socket_.non_blocking(true, error);
    if (!error) socket_.set_option(tcp::no_delay(true), error);
    if (error) return Close();
    ReadAvailable();  // the first request has often arrived already
  }

  // Ends the connection. Nothing more is called but on_close, later.
  void Close() {
    if (closed_) return;
    closed_ = true;
    connection_ref self = shared_from_this();
    std::error_code ignored;  // a failed close cannot be handled
    socket_.close(ignored);
    exchanges_.clear();
    reader_.Begin({});
    DropUnparsed();
    server_->connections.erase(self);
    if (!server_->options.on_close) return;
    // Posted, since the caller may be handling a request.
    asio::post(server_->loop, [server = server_, id = id_] {
      if (server->options.on_close) server->options.on_close(id);
    });
  }

  void CheckTimeLimits(micros now) {
    auto limit =
        static_cast<micros>(server_->options.read_timeout_seconds) * kSecond;
    if (lingering_) {
      if (now - linger_since_ > kMaxLinger) Close();
    } else if (!exchanges_.empty() && exchanges_.front()->answered) {
      if (now - write_since_ > kMaxWriteTime) Fail(client_fault::kSlowReader);
    } else if (!exchanges_.empty() &&
               now - exchanges_.front()->start > kMaxHandlingTime) {
      Close();
    } else if (reader_.started()) {
      micros longest = reader_.head_complete() ? kMaxRequestTime : kMaxHeadTime;
      if (now - last_activity_ > std::min(limit, kMaxPause) ||
          now - request_since_ > std::min(limit, longest))
        Fail(client_fault::kSlowRequest);
    } else if (exchanges_.empty() && now - last_activity_ > limit) {
      Close();
    }
  }

  // How long it has waited for the first byte of a request; 0 if it does not.
  micros IdleTime(micros now) const {
    bool idle = exchanges_.empty() && !reader_.started() && !lingering_;
    return idle ? now - last_activity_ : 0;
  }

  // Closes the connection because of its client.
  void Fail(client_fault fault) {
    if (closed_) return;
    ReportFault(server_.get(), fault, ClientAddress());
    Close();
  }

  void Respond(const exchange_ref& e, http_response response) {
    if (closed_ || e->answered) return;
    if (response.status < 200 || response.status > 599) {
      response = {.status = 500, .body = R"({"outcome":"unknown"})"};
    }
    e->answered = true;
    if (response.close) e->keep_alive = false;
    e->head = ResponseHead(response, !e->keep_alive);
    if (!e->head_only) e->body = std::move(response.body);
    if (e == exchanges_.front()) {
      write_since_ = SteadyNow();
      return Write();
    }
    ChargeReply(e);  // waits for the response to an earlier request
  }

 private:
  size_t MaxExchanges() const { return server_->options.on_close ? 2 : 1; }

  std::string ClientAddress() const {
    std::error_code error;
    tcp::endpoint client = socket_.remote_endpoint(error);
    return error ? "" : client.address().to_string();
  }

  // ---- Reading -------------------------------------------------------------

  void WaitForBytes() {
    bool full = exchanges_.size() >= MaxExchanges() && !lingering_;
    bool parses_first = !unparsed_.empty();
    if (closed_ || waiting_ || full || parses_first) return;
    if (refused_ && !lingering_) return;
    waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](std::error_code error) {
                         self->waiting_ = false;
                         if (!self->closed_)
                           error ? self->Close() : self->ReadAvailable();
                       });
  }

  void ReadAvailable() {
    // What is kept is parsed first, in order. ParseKept waits for more.
    if (!unparsed_.empty() && !lingering_) return;
    auto& buffer = server_->buffer;
    for (int i = 0; i < kReadsPerTurn; ++i) {
      std::error_code error;
      size_t n = socket_.read_some(asio::buffer(buffer), error);
      if (error == asio::error::would_block) break;
      if (error) return Close();
      Receive(buffer.data(), n);
      if (closed_ || n < buffer.size() || !unparsed_.empty()) break;
    }
    WaitForBytes();
  }

  // `data` may be the buffer that is shared: handlers must not read into it,
  // and don't, since they run to their end before another socket is read.
  void Receive(const char* data, size_t size) {
    if (lingering_) {
      lingered_bytes_ += size;
      if (lingered_bytes_ > max_linger_bytes_) Close();
      return;
    }
    last_activity_ = SteadyNow();
    if (last_) return;
    if (!unparsed_.empty()) return Keep(data, size);
    while (size > 0 && !closed_ && !refused_ && !last_) {
      if (exchanges_.size() >= MaxExchanges()) return Keep(data, size);
      if (!reader_.started()) request_since_ = last_activity_;
      size_t used = reader_.Feed(data, size);
      data += used;
      size -= used;
      if (reader_.state() == request_state::kComplete) {
        Handle();
      } else if (reader_.state() != request_state::kReading) {
        Refuse(reader_.state());
      } else if (exchanges_.empty() && reader_.TakeExpectation()) {
        SendContinue();
      }
    }
  }

  // Keeps bytes behind as many requests as may be handled at a time.
  void Keep(const char* data, size_t size) {
    if (!unparsed_charge_.Resize(unparsed_.size() + size))
      return Fail(client_fault::kNoMemory);
    unparsed_.append(data, size);
  }

  void DropUnparsed() {
    unparsed_.clear();
    unparsed_.shrink_to_fit();
    unparsed_charge_.Resize(0);
  }

  // Continues with what was kept, once a response has been written.
  void ParseKept() {
    if (closed_) return;
    std::string kept = std::move(unparsed_);
    byte_charge charge = std::move(unparsed_charge_);
    unparsed_ = {};
    unparsed_charge_ = byte_charge(server_->options.account);
    Receive(kept.data(), kept.size());
    WaitForBytes();
  }

  void SendContinue() {
    // A client that gets no interim response sends the body nevertheless.
    std::error_code ignored;
    socket_.write_some(asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25),
                       ignored);
  }

  // ---- Handling ------------------------------------------------------------

  exchange_ref AddExchange() {
    auto e = std::make_shared<exchange>();
    e->start = last_activity_;
    e->reply_charge = byte_charge(server_->options.account);
    exchanges_.push_back(e);
    return e;
  }

  // Calls the handler with the request that is complete.
  void Handle() {
    http_request request = reader_.TakeRequest();
    request.connection_id = id_;
    exchange_ref e = AddExchange();
    e->head_only = request.method == "HEAD";
    e->keep_alive = reader_.keep_alive();
    last_ = !e->keep_alive;
    responder respond = MakeResponder(e, reader_.TakeCharge());
    reader_.Begin(byte_charge(server_->options.account));
    // An exception from a library must fail this request, not the connection.
    try {
      server_->handler(std::move(request), respond);
    } catch (const std::exception& error) {
      Log(log_level::kError, "handler_failed", {{"reason", error.what()}});
      respond({.status = 500, .body = R"({"outcome":"unknown"})"});
    }
  }

  // What a responder holds: the charge of its request, until the last copy of
  // the responder has gone, and the count until the response is given.
  struct pending_response {
    std::weak_ptr<connection> to;
    exchange_ref of;
    byte_charge charge;
    request_count_ref counted;
  };

  responder MakeResponder(const exchange_ref& e, byte_charge charge) {
    auto pending = std::make_shared<pending_response>();
    pending->to = weak_from_this();
    pending->of = e;
    pending->charge = std::move(charge);
    pending->counted = std::make_shared<request_count>(server_->unanswered);
    return [&loop = server_->loop, pending](http_response response) {
      // Connections are used on the loop's thread only.
      asio::dispatch(loop, [pending, r = std::move(response)]() mutable {
        connection_ref c = pending->to.lock();
        request_count_ref counted = std::move(pending->counted);
        if (c == nullptr || counted == nullptr) return;
        pending->of->counted = std::move(counted);
        c->Respond(pending->of, std::move(r));
      });
    };
  }

  // Answers a request that is not read on, and closes after it.
  void Refuse(request_state state) {
    refused_ = true;
    const serve_options& options = server_->options;
    client_fault fault = client_fault::kInvalid;
    http_response response;
    switch (state) {
      case request_state::kHeadTooLarge:
        fault = client_fault::kHeadTooLarge;
        max_linger_bytes_ = kMaxLingerHeadBytes;
        response = Refusal(431, "too_large",
                           fmt::format("the head is larger than {} bytes",
                                       options.max_header_bytes));
        break;
      case request_state::kBodyTooLarge:
        fault = client_fault::kBodyTooLarge;
        response = Refusal(413, "too_large",
                           fmt::format("the body is larger than {} bytes",
                                       options.max_body_bytes));
        break;
      case request_state::kNoMemory:
        fault = client_fault::kNoMemory;
        response = Refusal(503, "no_memory", "too many bytes are held");
        response.headers = {{"Retry-After", "1"}};
        break;
      default:
        return Fail(client_fault::kInvalid);
    }
    ReportFault(server_.get(), fault, ClientAddress());
    reader_.Begin({});  // gives back what it holds
    exchange_ref e = AddExchange();
    e->refused = true;
    e->counted = std::make_shared<request_count>(server_->unanswered);
    Respond(e, std::move(response));
  }

  // ---- Writing -------------------------------------------------------------

  static size_t Size(const exchange& e) {
    return e.head.size() + e.body.size();
  }

  void ChargeReply(const exchange_ref& e) {
    if (!e->reply_charge.Resize(e->head.capacity() + e->body.capacity()))
      Fail(client_fault::kNoMemory);
  }

  // Writes the first response, and those behind it that are there.
  void Write() {
    while (!closed_ && !writing_ && !exchanges_.empty() &&
           exchanges_.front()->answered) {
      exchange_ref e = exchanges_.front();
      size_t in_head = std::min(e->written, e->head.size());
      std::array<asio::const_buffer, 2> rest = {
          asio::buffer(e->head) + in_head,
          asio::buffer(e->body) + (e->written - in_head)};
      std::error_code error;
      size_t n = socket_.send(rest, 0, error);
      if (error && error != asio::error::would_block) return Close();
      e->written += n;
      if (e->written < Size(*e)) return WriteLater(e);
      OnWritten(e);
    }
  }

  void WriteLater(const exchange_ref& e) {
    if (e->reply_charge.bytes() == 0) ChargeReply(e);
    if (closed_) return;
    writing_ = true;
    socket_.async_wait(tcp::socket::wait_write,
                       [self = shared_from_this()](std::error_code error) {
                         self->writing_ = false;
                         if (self->closed_) return;
                         error ? self->Close() : self->Write();
                       });
  }

  void OnWritten(const exchange_ref& e) {
    exchanges_.pop_front();
    e->counted.reset();
    if (e->refused) return Linger();
    if (!e->keep_alive) {
      // Closing with unread bytes would reset the connection and with it the
      // response.
      std::error_code error;
      return socket_.available(error) > 0 ? Linger() : Close();
    }
    last_activity_ = write_since_ = SteadyNow();
    if (unparsed_.empty()) return WaitForBytes();
    // Posted, since the caller may be handling a request.
    asio::post(server_->loop,
               [self = shared_from_this()] { self->ParseKept(); });
  }

  void Linger() {
    DropUnparsed();
    lingering_ = true;
    linger_since_ = SteadyNow();
    std::error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    if (error) return Close();
    WaitForBytes();
  }

  server_ref server_;
  tcp::socket socket_;
  const uint64_t id_;
  request_reader reader_;
  std::deque<exchange_ref> exchanges_;  // in order of arrival
  std::string unparsed_;
  byte_charge unparsed_charge_{server_->options.account};
  bool waiting_ = false;    // for bytes
  bool writing_ = false;    // waits until the socket takes more
  bool refused_ = false;    // no further request is read
  bool last_ = false;       // the same: a request ends the connection
  bool lingering_ = false;  // reads and drops bytes before it closes
  bool closed_ = false;
  size_t lingered_bytes_ = 0;
  size_t max_linger_bytes_ = kMaxLingerBytes;
  micros last_activity_;      // of the last byte read or response written
  micros request_since_ = 0;  // of the first byte of the request
  micros write_since_ = 0;    // of the response that is being written
  micros linger_since_ = 0;
};

void ScheduleSweep(const server_ref& s) {
  if (s->sweeping) return;
  s->sweeping = true;
  micros interval = std::min(
      kSweepInterval,
      static_cast<micros>(s->options.read_timeout_seconds) * kSecond / 4);
  s->sweep_timer.expires_after(std::chrono::microseconds(interval));
  s->sweep_timer.async_wait([s](std::error_code error) {
    s->sweeping = false;
    if (error) return;
    micros now = SteadyNow();
    std::vector<connection_ref> all(s->connections.begin(),
                                    s->connections.end());
    for (const connection_ref& c : all) c->CheckTimeLimits(now);
    if (!s->connections.empty()) ScheduleSweep(s);
  });
}

// Closes the connection that has been idle for longest. Returns false if none
// has been for kMinIdleToClose.
bool CloseIdle(server_state* s) {
  micros now = SteadyNow();
  micros longest = kMinIdleToClose;
  connection_ref idle;
  for (const connection_ref& c : s->connections) {
    micros time = c->IdleTime(now);
    if (time < longest) continue;
    longest = time;
    idle = c;
  }
  if (idle != nullptr) idle->Fail(client_fault::kTooManyConnections);
  return idle != nullptr;
}

void Accept(const server_ref& s);

void AcceptAfterPause(const server_ref& s) {
  s->accept_timer.expires_after(std::chrono::microseconds(kAcceptPause));
  s->accept_timer.async_wait([s](std::error_code error) {
    if (!error) Accept(s);
  });
}

void Accept(const server_ref& s) {
  if (!s->acceptor.is_open()) return;
  s->acceptor.async_accept([s](std::error_code error, tcp::socket socket) {
    if (!s->acceptor.is_open()) return;
    if (error == asio::error::connection_aborted) return Accept(s);
    if (error) {
      ReportFault(s.get(), client_fault::kNoDescriptors, error.message());
      CloseIdle(s.get());
      return AcceptAfterPause(s);
    }
    if (s->connections.size() >= s->options.max_connections &&
        !CloseIdle(s.get())) {
      std::error_code unknown;
      ReportFault(s.get(), client_fault::kTooManyConnections,
                  socket.remote_endpoint(unknown).address().to_string());
      socket.close(unknown);
      return Accept(s);
    }
    auto c = std::make_shared<connection>(s, std::move(socket),
                                          ++s->last_connection_id);
    s->connections.insert(c);
    c->Start();
    ScheduleSweep(s);
    Accept(s);
  });
}

}  // namespace

std::string_view HeaderOf(const http_request& request, std::string_view name) {
  for (const auto& [header, value] : request.headers) {
    if (absl::EqualsIgnoreCase(ToAbsl(header), ToAbsl(name))) return value;
  }
  return "";
}

std::string_view QueryParameter(const http_request& request,
                                std::string_view name) {
  std::string_view rest = request.query;
  while (!rest.empty()) {
    std::string_view parameter = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
    size_t equals = parameter.find('=');
    if (equals != std::string_view::npos &&
        parameter.substr(0, equals) == name) {
      return parameter.substr(equals + 1);
    }
  }
  return "";
}

class http_server::impl {
 public:
  impl(asio::io_context& loop, const serve_options& options,
       http_handler handler)
      : state_(std::make_shared<server_state>(loop, options,
                                              std::move(handler))) {}

  ~impl() {
    Close();
    state_->options.on_close = nullptr;
    std::vector<connection_ref> all(state_->connections.begin(),
                                    state_->connections.end());
    for (const connection_ref& c : all) c->Close();
    state_->sweep_timer.cancel();
  }

  void Listen() {
    const serve_options& o = state_->options;
    tcp::endpoint at(asio::ip::make_address(o.listen.host), o.listen.port);
    tcp::acceptor& acceptor = state_->acceptor;
    acceptor.open(at.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    if (o.reuse_port) acceptor.set_option(reuse_port_option(true));
    acceptor.bind(at);
    acceptor.listen();
    Accept(state_);
  }

  int unanswered() const { return *state_->unanswered; }

  void Close() {
    std::error_code ignored;  // a failed close cannot be handled
    state_->acceptor.close(ignored);
    state_->accept_timer.cancel();
  }

 private:
  server_ref state_;
};

http_server::http_server(std::unique_ptr<impl> i) : impl_(std::move(i)) {}
http_server::~http_server() = default;

absl::StatusOr<std::unique_ptr<http_server>> http_server::Start(
    asio::io_context& loop, const serve_options& options,
    http_handler handler) {
  auto i = std::make_unique<impl>(loop, options, std::move(handler));
  try {
    i->Listen();
  } catch (const std::exception& e) {
    return absl::UnavailableError(fmt::format(
        "cannot listen on {}: {}", ToString(options.listen), e.what()));
  }
  return std::unique_ptr<http_server>(new http_server(std::move(i)));
}

void http_server::StopAccepting() { impl_->Close(); }

int http_server::unanswered() const { return impl_->unanswered(); }

}  // namespace baobabtray
