// Parses one reply from the bytes of a persistent connection, with http_parser.
//
//   reply_reader reader;
//   reader.Begin({.id = "a2", .id_header = "X-Id", .previous_id = "a1"});
//   size_t used = reader.Feed(data, size);   // size 0: end of the connection
//   if (reader.state() == reply_state::kComplete) result = reader.TakeResult();
//
// Up to kMaxInterimReplies interim (1xx) replies are skipped, and up to
// kMaxDuplicateReplies duplicate replies to the previous request on the
// connection (`previous_id`), which some servers send. Any other reply that
// does not echo the id is kIdMismatch. A reply without a length is complete
// when the connection ends. A reply with a body larger than kMaxReplyBytes or a
// head larger than http_parser's limit is kInvalid, so that a server that sends
// bytes without end is noticed. So is one whose status is none (status_line.h).

#ifndef TRAY_HTTP_REPLY_READER_H_
#define TRAY_HTTP_REPLY_READER_H_

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "tray/base/time.h"
#include "tray/http/fetch.h"
#include "tray/http/status_line.h"

namespace baobabtray {

// Replies that are skipped at most before the reply to a request.
constexpr int kMaxDuplicateReplies = 2;
constexpr int kMaxInterimReplies = 8;

enum class reply_state {
  kReading,
  kComplete,
  kIdMismatch,  // not a reply to this request
  kInvalid,     // truncated, too large, or not HTTP
};

struct expected_reply {
  std::string id;           // the reply must echo it; empty: not checked
  std::string id_header;    // header that echoes the id
  std::string previous_id;  // id of the previous request on the connection
  bool no_body = false;     // reply to a HEAD request
};

class reply_reader {
 public:
  // Bodies are charged to `account`; a reply that it refuses is kInvalid.
  void SetAccount(byte_account_ref account) { account_ = std::move(account); }
  void Begin(expected_reply expected);
  // Returns the number of bytes consumed: all of them while the state is
  // kReading. Bytes after a complete reply are not consumed.
  size_t Feed(const char* data, size_t size);

  reply_state state() const { return state_; }
  // Whether any byte has been received since Begin.
  bool started() const { return started_; }
  // Whether the account has refused the reply.
  bool over_account() const { return over_account_; }
  // The members below require a complete reply.
  fetch_result TakeResult();
  bool keep_alive() const { return keep_alive_; }
  // Time-out in the Keep-Alive header; 0 if absent.
  micros keep_alive_timeout() const { return keep_alive_timeout_; }

 private:
  static const http_parser_settings& Settings();
  static reply_reader* Self(http_parser* parser);
  static int OnHeaderField(http_parser* parser, const char* at, size_t size);
  static int OnHeaderValue(http_parser* parser, const char* at, size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, size_t size);
  static int OnMessageComplete(http_parser* parser);
  void BeginMessage();
  void ProcessHeader(std::string_view name, std::string_view value);
  void EndMessage();

  byte_account_ref account_;
  expected_reply expected_;
  reply_state state_ = reply_state::kReading;
  bool started_ = false;
  bool over_account_ = false;
  bool keep_alive_ = false;
  micros keep_alive_timeout_ = 0;
  int duplicate_replies_ = 0;
  int interim_replies_ = 0;
  // State of the message that is being parsed.
  http_parser parser_;
  status_line_check status_;
  fetch_result result_;
  bool in_value_ = false;
  bool id_seen_ = false;
  bool id_matches_ = false;
  bool id_is_previous_ = false;  // it echoes the id of the previous request
  bool skip_message_ = false;
  bool message_complete_ = false;
};

}  // namespace baobabtray

#endif  // TRAY_HTTP_REPLY_READER_H_
