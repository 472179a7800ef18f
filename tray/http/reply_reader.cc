// Parsing of replies with http_parser. See reply_reader.h.

#include "tray/http/reply_reader.h"

#include <charconv>
#include <climits>
#include <utility>

#include "absl/strings/match.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

bool EqualHeaderNames(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(ToAbsl(a), ToAbsl(b));
}

// Time-out in the value of a Keep-Alive header, or 0 if it has none.
micros ParseKeepAliveTimeout(std::string_view value) {
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
  started_ = over_account_ = false;
  keep_alive_ = false;
  keep_alive_timeout_ = 0;
  duplicate_replies_ = 0;
  interim_replies_ = 0;
  BeginMessage();
}

void reply_reader::BeginMessage() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  // Assigning an empty string would keep the memory of the old one.
  std::exchange(result_, {});
  status_ = {};
  in_value_ = id_seen_ = id_matches_ = id_is_previous_ = skip_message_ =
      message_complete_ = false;
}

size_t reply_reader::Feed(const char* data, size_t size) {
  size_t used = 0;
  started_ |= size > 0;
  do {
    CheckStatusLine({data + used, size - used}, &status_);
    if (status_.result == status_check::kInvalid) {
      state_ = reply_state::kInvalid;
      return used;
    }
    used +=
        http_parser_execute(&parser_, &Settings(), data + used, size - used);
    if (state_ != reply_state::kReading) return used;
    if (message_complete_) {
      EndMessage();
      if (state_ == reply_state::kComplete) return used;
    } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
      state_ = reply_state::kInvalid;
      return used;
    }
  } while (used < size);
  if (size == 0) state_ = reply_state::kInvalid;
  return used;
}

void reply_reader::EndMessage() {
  if (skip_message_) return BeginMessage();
  state_ = reply_state::kComplete;
  result_.status = parser_.status_code;
  keep_alive_ = http_should_keep_alive(&parser_) != 0;
}

fetch_result reply_reader::TakeResult() { return std::move(result_); }

void reply_reader::ProcessHeader(std::string_view name,
                                 std::string_view value) {
  if (EqualHeaderNames(name, "Keep-Alive"))
    keep_alive_timeout_ = ParseKeepAliveTimeout(value);
  if (!EqualHeaderNames(name, expected_.id_header)) return;
  bool matches = value == expected_.id;
  id_matches_ = matches && (!id_seen_ || id_matches_);
  id_is_previous_ = value == expected_.previous_id && !id_seen_;
  id_seen_ = true;
}

reply_reader* reply_reader::Self(http_parser* parser) {
  return static_cast<reply_reader*>(parser->data);
}

int reply_reader::OnHeaderField(http_parser* parser, const char* at,
                                size_t size) {
  reply_reader* r = Self(parser);
  auto& headers = r->result_.headers;
  if (headers.empty() || r->in_value_) headers.emplace_back();
  r->in_value_ = false;
  headers.back().first.append(at, size);
  return 0;
}

int reply_reader::OnHeaderValue(http_parser* parser, const char* at,
                                size_t size) {
  reply_reader* r = Self(parser);
  r->in_value_ = true;
  r->result_.headers.back().second.append(at, size);
  return 0;
}

// Decides whether the message is the expected reply, is skipped, or is an
// error. Returns 1 to tell http_parser that there is no body.
int reply_reader::OnHeadersComplete(http_parser* parser) {
  reply_reader* r = Self(parser);
  for (const auto& [name, value] : r->result_.headers) {
    r->ProcessHeader(name, value);
  }
  bool interim = parser->status_code < 200;
  bool mismatch = !r->expected_.id.empty() && !r->id_matches_ && !interim;
  // Without framing the message extends to the end of the connection, so it
  // cannot be skipped.
  bool has_framing =
      (parser->flags & F_CHUNKED) != 0 || parser->content_length != ULLONG_MAX;
  bool duplicate = mismatch && r->id_is_previous_ && has_framing &&
                   r->duplicate_replies_ < kMaxDuplicateReplies;
  r->duplicate_replies_ += duplicate ? 1 : 0;
  r->interim_replies_ += interim ? 1 : 0;
  r->skip_message_ = interim || duplicate;
  if (mismatch && !duplicate) r->state_ = reply_state::kIdMismatch;
  if (r->interim_replies_ > kMaxInterimReplies)
    r->state_ = reply_state::kInvalid;
  return r->expected_.no_body ? 1 : 0;
}

int reply_reader::OnBody(http_parser* parser, const char* at, size_t size) {
  reply_reader* r = Self(parser);
  if (r->result_.body.size() + size > kMaxReplyBytes) {
    r->state_ = reply_state::kInvalid;
    return 1;
  }
  fetch_result& result = r->result_;
  if (r->account_ == nullptr) {
    result.body.append(at, size);
    return 0;
  }
  if (result.charge == nullptr)
    result.charge = std::make_shared<byte_charge>(r->account_);
  bool chunked = (parser->flags & F_CHUNKED) != 0;
  uint64_t rest = parser->content_length;  // what is still to come
  size_t expected = chunked || rest > kMaxReplyBytes
                        ? kMaxReplyBytes
                        : result.body.size() + size + rest;
  if (AppendCharged(&result.body, at, size, expected, 0, result.charge.get()))
    return 0;
  r->over_account_ = true;
  r->state_ = reply_state::kInvalid;
  return 1;
}

int reply_reader::OnMessageComplete(http_parser* parser) {
  Self(parser)->message_complete_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& reply_reader::Settings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_header_field = OnHeaderField;
    s.on_header_value = OnHeaderValue;
    s.on_headers_complete = OnHeadersComplete;
    s.on_body = OnBody;
    s.on_message_complete = OnMessageComplete;
    return s;
  }();
  return kSettings;
}

}  // namespace baobabtray
