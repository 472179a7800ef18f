// A stand-in for a backend server on the users' platform, written from the
// platform's documentation: concurrency slots with a bounded queue, pauses,
// signed responses and fault injection. It counts the executions of each
// request.

#ifndef TRAY_STANDIN_PLATFORM_SERVER_H_
#define TRAY_STANDIN_PLATFORM_SERVER_H_

#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "tray/standin/test_http_server.h"

namespace baobabtray::standin {

struct platform_server_options {
  std::string id;
  std::string service;
  std::string data_centre;
  std::string host = "127.0.0.1";
  uint16_t port = 0;
  int slots = 2;
  int queue_limit = 12;  // requests beyond it are refused
  int work_ms = 5;
  int pause_ms = 0;  // length of a pause at the start of every period
  int pause_every_ms = 3600;
  bool returns_records = true;  // responds with records rather than text
  int records = 20;
  size_t text_bytes = 0;  // least length of a text
};

class platform_server {
 public:
  platform_server(asio::io_context& loop, platform_server_options options);

  void Listen() { http_.Listen(); }
  void Kill() { http_.Kill(); }
  // The value that a backend server writes under its key in the store.
  std::string StoreEntry(bool draining = false) const;

  // Applies to all requests until changed.
  enum class mode {
    kNormal,
    kRefuse,
    kFail,
    kNoResponse,
    kTruncate,
    kReset,
    kWrongId,
    kNoStatus,  // status 000
  };
  mode response_mode = mode::kNormal;
  // What the server states of itself in its responses.
  bool says_leaving = false;
  std::string retry_after;  // of responses that refuse; empty: none
  std::string rate_limit;   // empty: none
  // Forgets the above; the server's entry shows that it was started anew.
  void Restart();

  int arrivals = 0;  // requests received

  // Executions by request id.
  const std::map<std::string, int>& execution_counts() const {
    return execution_counts_;
  }
  const platform_server_options& options() const { return options_; }
  // Of the last request received.
  std::map<std::string, std::string> last_headers;
  std::string last_target;
  std::string last_body;

 private:
  struct pending_request {
    std::shared_ptr<test_http_connection> connection;
    test_http_request request;
  };
  void Handle(const std::shared_ptr<test_http_connection>& c,
              const test_http_request& r);
  void Execute(pending_request j);
  void Respond(const pending_request& j);
  std::string MakeRecords(const std::string& id) const;
  int RemainingPauseMs() const;

  asio::io_context& loop_;
  platform_server_options options_;
  test_http_server http_;
  // Adds what the server states of itself.
  void AddStatements(test_http_headers* headers) const;

  int running_ = 0;
  int starts_ = 1;
  std::deque<pending_request> queue_;
  std::map<std::string, int> execution_counts_;
  int pause_offset_ms_ = 0;  // differs by port, so that servers pause apart
};

}  // namespace baobabtray::standin

#endif  // TRAY_STANDIN_PLATFORM_SERVER_H_
