// Replies by http_parser. See reply_reader.h.

#include "tray/http/reply_reader.h"

#include <charconv>
#include <climits>
#include <utility>

#include "absl/strings/match.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

bool SameName(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(ToAbsl(a), ToAbsl(b));
}

// The time in the value of a Keep-Alive header, or 0.
micros IdleTimeOf(std::string_view value) {
  constexpr std::string_view kTimeout = "timeout=";
  size_t at = value.find(kTimeout);
  if (at == std::string_view::npos) return 0;
  value.remove_prefix(at + kTimeout.size());
  int64_t seconds = 0;
  std::from_chars(value.data(), value.data() + value.size(), seconds);
  return seconds > 0 && seconds < INT_MAX ? seconds * kSecond : 0;
}

}  // namespace

void reply_reader::Begin(expected_reply expected) {
  expected_ = std::move(expected);
  state_ = reply_state::kReading;
  started_ = false;
  keeps_connection_ = false;
  idle_time_ = 0;
  repeats_ = 0;
  BeginMessage();
}

void reply_reader::BeginMessage() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  result_ = {};
  in_value_ = id_seen_ = id_right_ = id_last_ = read_over_ = ended_ = false;
}

size_t reply_reader::Feed(const char* data, size_t size) {
  size_t used = 0;
  started_ |= size > 0;
  do {
    used +=
        http_parser_execute(&parser_, &Settings(), data + used, size - used);
    if (state_ != reply_state::kReading) return used;
    if (ended_) {
      EndMessage();
      if (state_ == reply_state::kWhole) return used;
    } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
      state_ = reply_state::kUnreadable;
      return used;
    }
  } while (used < size);
  if (size == 0) state_ = reply_state::kUnreadable;
  return used;
}

void reply_reader::EndMessage() {
  if (read_over_) return BeginMessage();
  state_ = reply_state::kWhole;
  result_.status = parser_.status_code;
  keeps_connection_ = http_should_keep_alive(&parser_) != 0;
}

fetch_result reply_reader::TakeResult() { return std::move(result_); }

void reply_reader::NoteHeader(std::string_view name, std::string_view value) {
  if (SameName(name, "Keep-Alive")) idle_time_ = IdleTimeOf(value);
  if (!SameName(name, expected_.id_header)) return;
  bool right = value == expected_.id;
  id_right_ = right && (!id_seen_ || id_right_);
  id_last_ = value == expected_.last_id && !id_seen_;
  id_seen_ = true;
}

reply_reader* reply_reader::Of(http_parser* parser) {
  return static_cast<reply_reader*>(parser->data);
}

int reply_reader::OnName(http_parser* parser, const char* at, size_t size) {
  reply_reader* r = Of(parser);
  auto& headers = r->result_.headers;
  if (headers.empty() || r->in_value_) headers.emplace_back();
  r->in_value_ = false;
  headers.back().first.append(at, size);
  return 0;
}

int reply_reader::OnValue(http_parser* parser, const char* at, size_t size) {
  reply_reader* r = Of(parser);
  r->in_value_ = true;
  r->result_.headers.back().second.append(at, size);
  return 0;
}

// Decides whether the message is the reply. Returns 1 if it has no body.
int reply_reader::OnHead(http_parser* parser) {
  reply_reader* r = Of(parser);
  for (const auto& [name, value] : r->result_.headers) {
    r->NoteHeader(name, value);
  }
  bool interim = parser->status_code < 200;
  bool wrong = !r->expected_.id.empty() && !r->id_right_ && !interim;
  // The end of a message without a length is the connection's.
  bool framed =
      (parser->flags & F_CHUNKED) != 0 || parser->content_length != ULLONG_MAX;
  bool repeat = wrong && r->id_last_ && framed && r->repeats_ < kMaxRepeats;
  r->repeats_ += repeat ? 1 : 0;
  r->read_over_ = interim || repeat;
  if (wrong && !repeat) r->state_ = reply_state::kCrossed;
  return r->expected_.no_body ? 1 : 0;
}

int reply_reader::OnBody(http_parser* parser, const char* at, size_t size) {
  reply_reader* r = Of(parser);
  if (r->result_.body.size() + size > kMaxReplyBytes) {
    r->state_ = reply_state::kUnreadable;
    return 1;
  }
  r->result_.body.append(at, size);
  return 0;
}

int reply_reader::OnEnd(http_parser* parser) {
  Of(parser)->ended_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& reply_reader::Settings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_header_field = OnName;
    s.on_header_value = OnValue;
    s.on_headers_complete = OnHead;
    s.on_body = OnBody;
    s.on_message_complete = OnEnd;
    return s;
  }();
  return kSettings;
}

}  // namespace baobabtray
