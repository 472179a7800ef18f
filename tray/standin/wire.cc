// HTTP for the stand-ins. See wire.h.

#include "tray/standin/wire.h"

#include <fmt/format.h>

#include <cctype>
#include <charconv>

namespace baobabtray::standin {

std::string wire_request::Header(const std::string& name) const {
  auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

namespace {

// Decodes %XX.
std::string Unescaped(std::string_view text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    unsigned char byte = 0;
    const char* digits = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
      plain += static_cast<char>(byte);
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

}  // namespace

std::string wire_request::Field(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return Unescaped(pair.substr(equals + 1));
    }
  }
  return "";
}

wire_connection::wire_connection(wire_server* server,
                                 asio::ip::tcp::socket socket)
    : server_(server), socket_(std::move(socket)) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
}

void wire_connection::Start() {
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  Read();
}

void wire_connection::Read() {
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](std::error_code error, size_t size) {
        if (error || !self->open_) {
          self->Close();
          return;
        }
        if (!self->silent_) self->Parse(size);
        if (self->open_) self->Read();
      });
}

void wire_connection::Parse(size_t size) {
  static const http_parser_settings kSettings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_url = OnUrl;
    s.on_header_field = OnName;
    s.on_header_value = OnValue;
    s.on_body = OnBody;
    s.on_message_complete = OnDone;
    return s;
  }();
  size_t used = http_parser_execute(&parser_, &kSettings, buffer_.data(), size);
  if (used != size || parser_.http_errno != HPE_OK) Close();
}

int wire_connection::OnUrl(http_parser* p, const char* at, size_t size) {
  auto* self = static_cast<wire_connection*>(p->data);
  self->request_.path.append(at, size);
  return 0;
}

int wire_connection::OnName(http_parser* p, const char* at, size_t size) {
  auto* self = static_cast<wire_connection*>(p->data);
  if (self->in_value_) self->name_.clear();
  self->in_value_ = false;
  for (size_t i = 0; i < size; ++i) {
    self->name_ += static_cast<char>(std::tolower(at[i]));
  }
  return 0;
}

int wire_connection::OnValue(http_parser* p, const char* at, size_t size) {
  auto* self = static_cast<wire_connection*>(p->data);
  self->in_value_ = true;
  self->request_.headers[self->name_].append(at, size);
  return 0;
}

int wire_connection::OnBody(http_parser* p, const char* at, size_t size) {
  static_cast<wire_connection*>(p->data)->request_.body.append(at, size);
  return 0;
}

int wire_connection::OnDone(http_parser* p) {
  auto* self = static_cast<wire_connection*>(p->data);
  wire_request request = std::move(self->request_);
  self->request_ = {};
  self->name_.clear();
  self->in_value_ = false;
  request.method = http_method_str(static_cast<http_method>(p->method));
  size_t question = request.path.find('?');
  if (question != std::string::npos) {
    request.query = request.path.substr(question + 1);
    request.path.resize(question);
  }
  ++self->requests_;
  self->server_->handler_(self->shared_from_this(), request);
  return 0;
}

void wire_connection::Write(std::string data, bool then_close) {
  if (!open_ || silent_) return;
  auto shared = std::make_shared<std::string>(std::move(data));
  asio::async_write(socket_, asio::buffer(*shared),
                    [self = shared_from_this(), shared, then_close](
                        std::error_code error, size_t) {
                      if (error || then_close) self->Close();
                    });
}

namespace {

std::string HeadOf(int status, const wire_headers& headers, size_t length) {
  std::string head = fmt::format(
      "HTTP/1.1 {} X\r\nContent-Length: {}\r\n"
      "Content-Type: application/json\r\n",
      status, length);
  for (const auto& [name, value] : headers) {
    head += fmt::format("{}: {}\r\n", name, value);
  }
  return head + "\r\n";
}

}  // namespace

void wire_connection::Reply(int status, const wire_headers& headers,
                            std::string_view body) {
  Write(HeadOf(status, headers, body.size()).append(body), false);
}

void wire_connection::ReplyCut(int status, const wire_headers& headers,
                               std::string_view body) {
  Write(HeadOf(status, headers, body.size())
            .append(body.substr(0, body.size() / 2)),
        true);
}

void wire_connection::Reset() {
  std::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void wire_connection::Close() {
  if (!open_) return;
  open_ = false;
  std::error_code ignored;
  socket_.close(ignored);
  server_->connections_.erase(shared_from_this());
  if (on_close) on_close();
}

wire_server::wire_server(asio::io_context& loop, const std::string& host,
                         uint16_t port, wire_handler handler)
    : loop_(loop),
      address_(asio::ip::make_address(host), port),
      acceptor_(loop),
      handler_(std::move(handler)) {}

void wire_server::Listen() {
  acceptor_.open(address_.protocol());
  acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  acceptor_.bind(address_);
  acceptor_.listen(1024);
  Accept();
}

void wire_server::Accept() {
  acceptor_.async_accept([this](std::error_code error,
                                asio::ip::tcp::socket socket) {
    if (error) return;
    auto connection =
        std::make_shared<wire_connection>(this, std::move(socket));
    connection->id_ = ++accepted_connections;
    bool over = most_connections > 0 &&
                connections_.size() >= static_cast<size_t>(most_connections);
    if (over) {
      ++refused_connections;
      connection->Reset();
    } else {
      connections_.insert(connection);
      connection->Start();
    }
    Accept();
  });
}

void wire_server::Kill() {
  std::error_code ignored;
  acceptor_.close(ignored);
  std::set<std::shared_ptr<wire_connection>> all = connections_;
  for (const auto& connection : all) connection->Reset();
}

}  // namespace baobabtray::standin
