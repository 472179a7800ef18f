// A stand-in for a backend server on the users' platform, from its pages: slots
// and a queue, pauses, signatures, and the ways in which it fails. It keeps a
// ledger of what ran.

#ifndef TRAY_STANDIN_PLATFORM_SERVER_H_
#define TRAY_STANDIN_PLATFORM_SERVER_H_

#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "tray/standin/wire.h"

namespace baobabtray::standin {

struct platform_server_options {
  std::string id;
  std::string service;
  std::string data_centre;
  std::string host = "127.0.0.1";
  uint16_t port = 0;
  int slots = 2;
  int queue = 12;
  int work_ms = 5;
  int pause_ms = 0;  // stands still this long ...
  int pause_every_ms = 3600;
  bool shards = true;  // answers with records rather than a text
  int records = 20;
};

class platform_server {
 public:
  platform_server(asio::io_context& loop, platform_server_options options);

  void Listen() { wire_.Listen(); }
  void Kill() { wire_.Kill(); }
  // The entry that it would write into the store.
  std::string Entry(bool leaving = false) const;

  // How the next requests are answered; kept until changed.
  enum class mode { kNormal, kRefuse, kFail, kMute, kCut, kReset, kWrongId };
  mode answers = mode::kNormal;

  // Times that each request id ran here.
  const std::map<std::string, int>& ran() const { return ran_; }
  const platform_server_options& options() const { return options_; }
  // Headers of the last request.
  std::map<std::string, std::string> last_headers;
  std::string last_target;
  std::string last_body;

 private:
  struct job {
    std::shared_ptr<wire_connection> connection;
    wire_request request;
  };
  void Handle(const std::shared_ptr<wire_connection>& c, const wire_request& r);
  void Run(job j);
  void Done(const job& j);
  std::string Records(const std::string& id) const;
  int PauseLeftMs() const;

  asio::io_context& loop_;
  platform_server_options options_;
  wire_server wire_;
  int running_ = 0;
  std::deque<job> waiting_;
  std::map<std::string, int> ran_;
  int phase_ms_ = 0;  // of its pauses
};

}  // namespace baobabtray::standin

#endif  // TRAY_STANDIN_PLATFORM_SERVER_H_
