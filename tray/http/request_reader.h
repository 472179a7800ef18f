// Parses the requests of one connection from its bytes, with http_parser.
//
//   request_reader reader({.max_head_bytes = ..., .max_body_bytes = ...});
//   reader.Begin(byte_charge(account));
//   size_t used = reader.Feed(data, size);
//   if (reader.state() == request_state::kComplete) r = reader.TakeRequest();
//
// Memory is charged before it is taken, and a request over a limit is rejected
// as soon as that is known: by its stated length before its body is read. Bytes
// that are not kept (chunk sizes and extensions, trailers) are bounded too.
//
// Rejected as invalid, since another reader might see other requests in the
// same bytes: two differing lengths, a length beside a chunked body, folded
// header lines, spaces in header names, and versions other than 1.x. Trailers
// are dropped.

#ifndef TRAY_HTTP_REQUEST_READER_H_
#define TRAY_HTTP_REQUEST_READER_H_

#include <http_parser.h>

#include <cstddef>
#include <string>

#include "tray/http/byte_account.h"
#include "tray/http/serve.h"

namespace baobabtray {

// A request with more header fields is rejected as too large.
constexpr size_t kMaxHeaderFields = 200;
// The bytes of a chunked body, with all that is not kept, are at most this many
// times the limit of a body.
constexpr size_t kMaxFramingFactor = 16;

enum class request_state {
  kReading,
  kComplete,
  kHeadTooLarge,  // or the trailers
  kBodyTooLarge,
  kNoMemory,  // the account refused it
  kInvalid,
};

struct request_reader_limits {
  size_t max_head_bytes = 0;  // target, names and values
  size_t max_body_bytes = 0;
};

class request_reader {
 public:
  explicit request_reader(request_reader_limits limits) : limits_(limits) {}

  // Starts the next request. What is kept of it is charged to `charge`.
  void Begin(byte_charge charge);
  // Returns the number of bytes consumed: all of them while the state is
  // kReading. Bytes after a complete request are not consumed.
  size_t Feed(const char* data, size_t size);

  request_state state() const { return state_; }
  // Whether any byte has been received since Begin.
  bool head_complete() const { return head_complete_; }
  bool started() const { return started_; }
  // Whether the client waits for an interim response before it sends the body.
  // True once only.
  bool TakeExpectation();
  // The members below require a complete request.
  http_request TakeRequest() { return std::move(request_); }
  byte_charge TakeCharge() { return std::move(charge_); }
  bool keep_alive() const { return keep_alive_; }

 private:
  static const http_parser_settings& Settings();
  static request_reader* Self(http_parser* parser);
  static int OnTarget(http_parser* parser, const char* at, size_t size);
  static int OnHeaderName(http_parser* parser, const char* at, size_t size);
  static int OnHeaderValue(http_parser* parser, const char* at, size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, size_t size);
  static int OnMessageComplete(http_parser* parser);
  int Reject(request_state state);
  bool AddToHead(size_t bytes, size_t fields);
  bool AcceptHead();
  bool HasFoldedLine(const char* data, size_t size);

  const request_reader_limits limits_;
  http_parser parser_ = {};
  http_request request_;
  byte_charge charge_;  // at least head_charge_ + capacity of the body
  request_state state_ = request_state::kReading;
  size_t head_bytes_ = 0;
  size_t head_charge_ = 0;
  size_t trailer_bytes_ = 0;
  size_t body_wire_bytes_ = 0;
  bool started_ = false;
  bool head_complete_ = false;
  bool complete_ = false;
  bool in_value_ = false;
  bool after_newline_ = false;
  bool expects_continue_ = false;
  bool keep_alive_ = false;
};

}  // namespace baobabtray

#endif  // TRAY_HTTP_REQUEST_READER_H_
