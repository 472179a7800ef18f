// Parsing of requests with http_parser. See request_reader.h.

#include "tray/http/request_reader.h"

#include <algorithm>
#include <climits>
#include <utility>

#include "absl/strings/match.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

// A head is charged in steps of this many bytes.
constexpr size_t kHeadStep = 4096;
// Beside its text, a header field takes about this much.
constexpr size_t kFieldBytes = 64;

}  // namespace

void request_reader::Begin(byte_charge charge) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  // Assigning an empty string would keep the memory of the old one.
  std::exchange(request_, {});
  charge_ = std::move(charge);
  state_ = request_state::kReading;
  head_bytes_ = head_charge_ = trailer_bytes_ = body_wire_bytes_ = 0;
  started_ = head_complete_ = complete_ = in_value_ = after_newline_ =
      expects_continue_ = keep_alive_ = false;
}

size_t request_reader::Feed(const char* data, size_t size) {
  size_t used = 0;
  // Clients may send an empty line behind a body.
  started_ =
      started_ || std::string_view(data, size).find_first_not_of("\r\n") !=
                      std::string_view::npos;
  while (used < size && state_ == request_state::kReading) {
    bool in_head = !head_complete_;
    size_t n =
        http_parser_execute(&parser_, &Settings(), data + used, size - used);
    if (in_head && HasFoldedLine(data + used, n)) {
      state_ = request_state::kInvalid;
    }
    if (!in_head) body_wire_bytes_ += n;
    used += n;
    if (state_ != request_state::kReading) break;
    http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_PAUSED && complete_) {
      state_ = request_state::kComplete;
    } else if (error == HPE_PAUSED) {
      http_parser_pause(&parser_, 0);  // paused after the head
    } else if (error != HPE_OK) {
      state_ = request_state::kInvalid;
    } else if (body_wire_bytes_ >
               kMaxFramingFactor * limits_.max_body_bytes + kHeadStep) {
      state_ = request_state::kBodyTooLarge;
    }
  }
  return used;
}

bool request_reader::TakeExpectation() {
  return std::exchange(expects_continue_, false);
}

// Whether a line of the head starts with a space, which continues the line
// before it.
bool request_reader::HasFoldedLine(const char* data, size_t size) {
  for (size_t i = 0; i < size; ++i) {
    if (after_newline_ && (data[i] == ' ' || data[i] == '\t')) return true;
    after_newline_ = data[i] == '\n';
  }
  return false;
}

int request_reader::Reject(request_state state) {
  state_ = state;
  return 1;
}

// Returns whether the head may grow by this much.
bool request_reader::AddToHead(size_t bytes, size_t fields) {
  head_bytes_ += bytes;
  if (head_bytes_ > limits_.max_head_bytes ||
      request_.headers.size() + fields > kMaxHeaderFields) {
    Reject(request_state::kHeadTooLarge);
    return false;
  }
  size_t held = head_bytes_ + (request_.headers.size() + fields) * kFieldBytes;
  if (held <= head_charge_) return true;
  size_t charge = (held / kHeadStep + 1) * kHeadStep;
  if (!charge_.Resize(charge)) {
    Reject(request_state::kNoMemory);
    return false;
  }
  head_charge_ = charge;
  return true;
}

request_reader* request_reader::Self(http_parser* parser) {
  return static_cast<request_reader*>(parser->data);
}

int request_reader::OnTarget(http_parser* parser, const char* at, size_t size) {
  request_reader* r = Self(parser);
  // Of the target, the path and the query count.
  size_t marks = std::count(at, at + size, '?');
  if (!r->AddToHead(size - marks, 0)) return 1;
  r->request_.target.append(at, size);
  return 0;
}

int request_reader::OnHeaderName(http_parser* parser, const char* at,
                                 size_t size) {
  request_reader* r = Self(parser);
  if (r->head_complete_) {
    r->trailer_bytes_ += size;
    return r->trailer_bytes_ > r->limits_.max_head_bytes
               ? r->Reject(request_state::kHeadTooLarge)
               : 0;
  }
  auto& headers = r->request_.headers;
  bool starts = headers.empty() || r->in_value_;
  if (!r->AddToHead(size, starts ? 1 : 0)) return 1;
  if (std::string_view(at, size).find(' ') != std::string_view::npos)
    return r->Reject(request_state::kInvalid);
  if (starts) headers.emplace_back();
  r->in_value_ = false;
  headers.back().first.append(at, size);
  return 0;
}

int request_reader::OnHeaderValue(http_parser* parser, const char* at,
                                  size_t size) {
  request_reader* r = Self(parser);
  if (r->head_complete_) {
    r->trailer_bytes_ += size;
    return r->trailer_bytes_ > r->limits_.max_head_bytes
               ? r->Reject(request_state::kHeadTooLarge)
               : 0;
  }
  if (!r->AddToHead(size, 0)) return 1;
  r->in_value_ = true;
  r->request_.headers.back().second.append(at, size);
  return 0;
}

// Pauses the parser, so that the head is told from the body.
int request_reader::OnHeadersComplete(http_parser* parser) {
  request_reader* r = Self(parser);
  r->head_complete_ = true;
  parser->upgrade = 0;  // no protocol is offered
  if (!r->AcceptHead()) return -1;
  http_parser_pause(parser, 1);
  return 0;
}

bool request_reader::AcceptHead() {
  if (parser_.http_major != 1) {
    Reject(request_state::kInvalid);
    return false;
  }
  request_.method = http_method_str(static_cast<http_method>(parser_.method));
  const std::string& target = request_.target;
  size_t path_end = target.find_first_of("?#");
  request_.path = target.substr(0, path_end);
  if (path_end != std::string::npos && target[path_end] == '?') {
    request_.query =
        target.substr(path_end + 1, target.find('#', path_end) - path_end - 1);
  }
  keep_alive_ = http_should_keep_alive(&parser_) != 0;
  bool has_length = parser_.content_length != ULLONG_MAX;
  if (has_length && parser_.content_length > limits_.max_body_bytes) {
    Reject(request_state::kBodyTooLarge);
    return false;
  }
  if (has_length && !charge_.Fits(head_charge_ + parser_.content_length)) {
    Reject(request_state::kNoMemory);
    return false;
  }
  bool has_body = (parser_.flags & F_CHUNKED) != 0 ||
                  (has_length && parser_.content_length > 0);
  std::string_view expectation = HeaderOf(request_, "Expect");
  expects_continue_ =
      has_body && parser_.http_minor > 0 &&
      absl::EqualsIgnoreCase(ToAbsl(expectation), "100-continue");
  return true;
}

int request_reader::OnBody(http_parser* parser, const char* at, size_t size) {
  request_reader* r = Self(parser);
  r->expects_continue_ = false;
  std::string* body = &r->request_.body;
  size_t limit = r->limits_.max_body_bytes;
  if (body->size() + size > limit)
    return r->Reject(request_state::kBodyTooLarge);
  // content_length is what is still to come.
  size_t expected = (parser->flags & F_CHUNKED) != 0
                        ? limit
                        : body->size() + size + parser->content_length;
  return AppendCharged(body, at, size, expected, r->head_charge_, &r->charge_)
             ? 0
             : r->Reject(request_state::kNoMemory);
}

int request_reader::OnMessageComplete(http_parser* parser) {
  Self(parser)->complete_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& request_reader::Settings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_url = OnTarget;
    s.on_header_field = OnHeaderName;
    s.on_header_value = OnHeaderValue;
    s.on_headers_complete = OnHeadersComplete;
    s.on_body = OnBody;
    s.on_message_complete = OnMessageComplete;
    return s;
  }();
  return kSettings;
}

}  // namespace baobabtray
