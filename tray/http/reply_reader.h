// Reads one reply from the bytes of a kept connection, by http_parser.
//
//   reply_reader reader;
//   reader.Begin({.id = "a2", .id_header = "X-Id", .last_id = "a1"});
//   size_t used = reader.Feed(data, size);   // no bytes: the connection ended
//   if (reader.state() == reply_state::kWhole) result = reader.TakeResult();
//
// Interim replies are read over, and so are kMaxRepeats second replies to the
// request before (`last_id`), which some servers send. Any other reply that
// does not echo the id is kCrossed. A reply without a length is whole once the
// connection has ended. Replies over kMaxReplyBytes are kUnreadable.

#ifndef TRAY_HTTP_REPLY_READER_H_
#define TRAY_HTTP_REPLY_READER_H_

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "tray/base/time.h"
#include "tray/http/fetch.h"

namespace baobabtray {

// Second replies to the request before that are read over.
constexpr int kMaxRepeats = 2;

enum class reply_state {
  kReading,
  kWhole,
  kCrossed,     // it is not a reply to this request
  kUnreadable,  // cut, too large, or not HTTP
};

struct expected_reply {
  std::string id;         // that it must echo; empty: any
  std::string id_header;  // in this header
  std::string last_id;    // of the request before on this connection
  bool no_body = false;   // it answers a HEAD request
};

class reply_reader {
 public:
  void Begin(expected_reply expected);
  // Returns how many bytes were used: all, unless the reply is whole.
  size_t Feed(const char* data, size_t size);

  reply_state state() const { return state_; }
  // Whether a byte of the reply has come.
  bool started() const { return started_; }
  // Of a whole reply.
  fetch_result TakeResult();
  bool keeps_connection() const { return keeps_connection_; }
  // How long the server keeps idle connections; 0: not said.
  micros idle_time() const { return idle_time_; }

 private:
  static const http_parser_settings& Settings();
  static reply_reader* Of(http_parser* parser);
  static int OnName(http_parser* parser, const char* at, size_t size);
  static int OnValue(http_parser* parser, const char* at, size_t size);
  static int OnHead(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, size_t size);
  static int OnEnd(http_parser* parser);
  void BeginMessage();
  void NoteHeader(std::string_view name, std::string_view value);
  void EndMessage();

  expected_reply expected_;
  reply_state state_ = reply_state::kReading;
  bool started_ = false;
  bool keeps_connection_ = false;
  micros idle_time_ = 0;
  int repeats_ = 0;
  // Of the message that is being read.
  http_parser parser_;
  fetch_result result_;
  bool in_value_ = false;
  bool id_seen_ = false;
  bool id_right_ = false;
  bool id_last_ = false;  // the id of the request before
  bool read_over_ = false;
  bool ended_ = false;
};

}  // namespace baobabtray

#endif  // TRAY_HTTP_REPLY_READER_H_
