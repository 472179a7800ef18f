// A small HTTP server for the stand-ins, by Asio and http_parser, that gives
// them what a well-behaved server library hides: cutting bodies, resetting
// connections, leaving them silent, and counting them.

#ifndef TRAY_STANDIN_WIRE_H_
#define TRAY_STANDIN_WIRE_H_

#include <http_parser.h>

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace baobabtray::standin {

struct wire_request {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  std::map<std::string, std::string> headers;  // names in lower case

  std::string Header(const std::string& name) const;
  // Value in the query part, or "".
  std::string Field(std::string_view name) const;
};

using wire_headers = std::vector<std::pair<std::string, std::string>>;

class wire_server;

// One accepted connection. Requests on it are handled one after the other.
class wire_connection : public std::enable_shared_from_this<wire_connection> {
 public:
  wire_connection(wire_server* server, asio::ip::tcp::socket socket);

  void Start();
  void Reply(int status, const wire_headers& headers, std::string_view body);
  // Sends the head and half of the body, then closes.
  void ReplyCut(int status, const wire_headers& headers, std::string_view body);
  // Closes with a reset.
  void Reset();
  void Close();
  // Reads and answers nothing any more; the connection stays open.
  void Silence() { silent_ = true; }

  bool open() const { return open_; }
  bool silent() const { return silent_; }
  int requests() const { return requests_; }  // received so far
  uint64_t id() const { return id_; }
  // Called once when the peer closes or resets the connection.
  std::function<void()> on_close;

 private:
  friend class wire_server;
  void Read();
  void Parse(size_t size);
  void Write(std::string data, bool then_close);
  static int OnUrl(http_parser* p, const char* at, size_t size);
  static int OnName(http_parser* p, const char* at, size_t size);
  static int OnValue(http_parser* p, const char* at, size_t size);
  static int OnBody(http_parser* p, const char* at, size_t size);
  static int OnDone(http_parser* p);

  wire_server* server_;
  asio::ip::tcp::socket socket_;
  http_parser parser_;
  wire_request request_;
  std::string name_;
  bool in_value_ = false;
  bool open_ = true;
  bool silent_ = false;
  int requests_ = 0;
  uint64_t id_ = 0;
  std::array<char, 16384> buffer_;
};

using wire_handler =
    std::function<void(std::shared_ptr<wire_connection>, const wire_request&)>;

class wire_server {
 public:
  wire_server(asio::io_context& loop, const std::string& host, uint16_t port,
              wire_handler handler);

  // Opens the listener; throws if the port is taken.
  void Listen();
  // Closes the listener and resets all connections.
  void Kill();
  bool listening() const { return acceptor_.is_open(); }

  // Connections above this are closed at once; 0: no bound.
  int most_connections = 0;
  uint64_t refused_connections = 0;
  uint64_t accepted_connections = 0;
  const std::set<std::shared_ptr<wire_connection>>& connections() const {
    return connections_;
  }

 private:
  friend class wire_connection;
  void Accept();

  asio::io_context& loop_;
  asio::ip::tcp::endpoint address_;
  asio::ip::tcp::acceptor acceptor_;
  wire_handler handler_;
  std::set<std::shared_ptr<wire_connection>> connections_;
};

}  // namespace baobabtray::standin

#endif  // TRAY_STANDIN_WIRE_H_
