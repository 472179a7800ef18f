// A minimal HTTP/1.1 server on Asio and http_parser for the stand-ins. It can
// inject faults that an ordinary HTTP library does not expose: truncated
// bodies, connection resets and connections that stop responding. It also
// counts connections.

#ifndef TRAY_STANDIN_TEST_HTTP_SERVER_H_
#define TRAY_STANDIN_TEST_HTTP_SERVER_H_

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

struct test_http_request {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  std::map<std::string, std::string> headers;  // names in lower case

  std::string HeaderValue(const std::string& name) const;
  // Percent-decoded value of a parameter of the query string, or "".
  std::string QueryParameter(std::string_view name) const;
};

using test_http_headers = std::vector<std::pair<std::string, std::string>>;

class test_http_server;

// One accepted connection.
class test_http_connection
    : public std::enable_shared_from_this<test_http_connection> {
 public:
  test_http_connection(test_http_server* server, asio::ip::tcp::socket socket);

  void Start();
  void Reply(int status, const test_http_headers& headers,
             std::string_view body);
  // Sends the head and half of the body, then closes the connection.
  void ReplyTruncated(int status, const test_http_headers& headers,
                      std::string_view body);
  // Closes the connection with a TCP reset.
  void Reset();
  void Close();
  // Discards all further input and sends nothing more. The connection stays
  // open.
  void StopResponding() { unresponsive_ = true; }

  bool open() const { return open_; }
  bool unresponsive() const { return unresponsive_; }
  // Requests received on this connection.
  int request_count() const { return request_count_; }
  uint64_t id() const { return id_; }
  // Called once when the connection closes, on either side.
  std::function<void()> on_close;

 private:
  friend class test_http_server;
  void Read();
  void Parse(size_t size);
  void Write(std::string data, bool close_after);
  static int OnUrl(http_parser* p, const char* at, size_t size);
  static int OnHeaderName(http_parser* p, const char* at, size_t size);
  static int OnHeaderValue(http_parser* p, const char* at, size_t size);
  static int OnBody(http_parser* p, const char* at, size_t size);
  static int OnMessageComplete(http_parser* p);

  test_http_server* server_;
  asio::ip::tcp::socket socket_;
  http_parser parser_;
  test_http_request request_;
  std::string header_name_;
  bool in_header_value_ = false;
  bool open_ = true;
  bool unresponsive_ = false;
  int request_count_ = 0;
  uint64_t id_ = 0;
  std::array<char, 16384> buffer_;
};

using test_http_handler = std::function<void(
    std::shared_ptr<test_http_connection>, const test_http_request&)>;

class test_http_server {
 public:
  test_http_server(asio::io_context& loop, const std::string& host,
                   uint16_t port, test_http_handler handler);

  // Throws std::system_error if the port is in use.
  void Listen();
  // Stops listening and resets all connections.
  void Kill();
  bool listening() const { return acceptor_.is_open(); }

  // Connections beyond this many are reset on accept. 0: unlimited.
  int max_connections = 0;
  uint64_t refused_connections = 0;
  uint64_t accepted_connections = 0;
  const std::set<std::shared_ptr<test_http_connection>>& connections() const {
    return connections_;
  }

 private:
  friend class test_http_connection;
  void Accept();

  asio::io_context& loop_;
  asio::ip::tcp::endpoint address_;
  asio::ip::tcp::acceptor acceptor_;
  test_http_handler handler_;
  std::set<std::shared_ptr<test_http_connection>> connections_;
};

}  // namespace baobabtray::standin

#endif  // TRAY_STANDIN_TEST_HTTP_SERVER_H_
