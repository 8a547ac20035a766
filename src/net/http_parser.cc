#include "http_parser.h"

#include <algorithm>
#include <cctype>

#include "net_constants.h"
#include "parse_number.h"

namespace corkmux::http {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

bool equal_nocase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool all_visible(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 127; });
}

bool all_upper_case(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

/// Removes the first line from the text and returns it, without the line end.
std::string_view take_line(std::string_view& text) {
  auto end = text.find(kLineEnd);
  auto line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + kLineEnd.size());
  return line;
}

}  // namespace

Parser::State Parser::bad(int status) {
  error_ = status;
  stage_ = Stage::Bad;
  return State::Bad;
}

bool Parser::reject(int status) {
  bad(status);
  return false;
}

void Parser::reset() {
  stage_ = Stage::Head;
  scanned_ = 0;
  length_ = 0;
  method.clear();
  target.clear();
  body.clear();
  content_type.clear();
  accept.clear();
  authorization.clear();
  status = 0;
  keep_alive = true;
}

bool Parser::parse_head(std::string_view head) {
  auto first = take_line(head);
  if (!(mode_ == Mode::Request ? parse_request_line(first) : parse_status_line(first))) return false;
  Framing framing;
  while (!head.empty())
    if (!parse_header(take_line(head), framing)) return false;
  return begin_body(framing);
}

bool Parser::parse_request_line(std::string_view line) {
  auto method_end = line.find(' ');
  if (method_end == std::string_view::npos) return reject(400);
  auto target_end = line.find(' ', method_end + 1);
  if (target_end == std::string_view::npos) return reject(400);
  method = line.substr(0, method_end);
  target = line.substr(method_end + 1, target_end - method_end - 1);
  if (method.empty() || target.empty() || target[0] != '/') return reject(400);
  if (!all_upper_case(method) || !all_visible(target)) return reject(400);
  return parse_version(line.substr(target_end + 1));
}

bool Parser::parse_status_line(std::string_view line) {
  auto version_end = line.find(' ');
  if (version_end == std::string_view::npos) return reject(400);
  auto code = line.substr(version_end + 1, 3);
  if (!parse_number(code, status) || status < 100) return reject(400);
  return parse_version(line.substr(0, version_end));
}

bool Parser::parse_version(std::string_view version) {
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return reject(400);
  keep_alive = version == "HTTP/1.1";
  return true;
}

bool Parser::parse_header(std::string_view line, Framing& framing) {
  auto colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return reject(400);
  auto name = line.substr(0, colon);
  auto value = trim(line.substr(colon + 1));
  if (!all_visible(name)) return reject(400);
  if (!parse_framing_header(name, value, framing)) return false;
  if (equal_nocase(name, "connection")) {
    if (equal_nocase(value, "close")) keep_alive = false;
    if (equal_nocase(value, "keep-alive")) keep_alive = true;
  } else if (equal_nocase(name, "content-type")) {
    content_type = value;
  } else if (equal_nocase(name, "accept")) {
    accept = value;
  } else if (equal_nocase(name, "authorization")) {
    authorization = value;
  }
  return true;
}

bool Parser::parse_framing_header(std::string_view name, std::string_view value, Framing& framing) {
  if (equal_nocase(name, "content-length")) {
    std::size_t length = 0;
    if (!parse_number(value, length)) return reject(400);
    if (framing.has_length && length != length_) return reject(400);
    framing.has_length = true;
    length_ = length;
  } else if (equal_nocase(name, "transfer-encoding")) {
    if (!equal_nocase(value, "chunked")) return reject(501);
    framing.chunked = true;
  }
  return true;
}

bool Parser::begin_body(const Framing& framing) {
  // Prevents request smuggling: with both headers, two parsers could disagree on the length of the body.
  if (framing.has_length && framing.chunked) return reject(400);
  if (framing.has_length && length_ > max_body_) return reject(413);
  if (framing.chunked) {
    stage_ = Stage::ChunkSize;
  } else if (framing.has_length) {
    stage_ = Stage::Body;
  } else if (mode_ == Mode::Request || status == 204 || status == 304) {
    length_ = 0;
    stage_ = Stage::Body;
  } else {
    keep_alive = false;
    stage_ = Stage::UntilClose;
  }
  return true;
}

Parser::State Parser::feed(std::string_view bytes) {
  if (stage_ == Stage::Bad) return State::Bad;
  buffer_.append(bytes);
  for (;;)
    if (auto state = advance()) return *state;
}

Parser::Step Parser::advance() {
  switch (stage_) {
    case Stage::Head:
      return read_head();
    case Stage::Body:
      return read_body();
    case Stage::ChunkSize:
      return read_chunk_size();
    case Stage::ChunkData:
      return read_chunk_data();
    case Stage::Trailer:
      return read_trailer();
    case Stage::UntilClose:
      return read_until_close();
    case Stage::Done:
      return State::Done;
    default:
      return State::Bad;
  }
}

Parser::Step Parser::read_head() {
  // RFC 9112 asks to ignore blank lines before a request.
  std::size_t blank = 0;
  while (scanned_ == 0 && buffer_.compare(blank, kLineEnd.size(), kLineEnd) == 0) blank += kLineEnd.size();
  buffer_.erase(0, blank);
  // The end of the head may have begun in the bytes scanned before.
  auto end = buffer_.find(kHeadEnd, scanned_ >= kHeadEnd.size() ? scanned_ - (kHeadEnd.size() - 1) : 0);
  auto head_bytes = end == std::string::npos ? buffer_.size() : end;
  if (head_bytes > constants::kMaxHeaderBytes) return bad(431);
  if (end == std::string::npos) {
    scanned_ = buffer_.size();
    return State::NeedMore;
  }
  std::string head = buffer_.substr(0, end);
  buffer_.erase(0, end + kHeadEnd.size());
  scanned_ = 0;
  if (!parse_head(head)) return State::Bad;
  return std::nullopt;
}

Parser::Step Parser::read_body() {
  if (buffer_.size() < length_) return State::NeedMore;
  body = buffer_.substr(0, length_);
  buffer_.erase(0, length_);
  stage_ = Stage::Done;
  return std::nullopt;
}

Parser::Step Parser::read_chunk_size() {
  auto end = buffer_.find(kLineEnd);
  if (end == std::string::npos)
    return buffer_.size() > constants::kMaxChunkSizeLine ? bad(400) : State::NeedMore;
  auto line = std::string_view(buffer_).substr(0, end);
  auto size = trim(line.substr(0, line.find(';')));  // chunk extensions follow the semicolon
  if (!parse_number(size, length_, 16)) return bad(400);
  buffer_.erase(0, end + kLineEnd.size());
  if (length_ > max_body_ || body.size() + length_ > max_body_) return bad(413);
  stage_ = length_ ? Stage::ChunkData : Stage::Trailer;
  return std::nullopt;
}

Parser::Step Parser::read_chunk_data() {
  if (buffer_.size() < length_ + kLineEnd.size()) return State::NeedMore;
  if (buffer_.compare(length_, kLineEnd.size(), kLineEnd) != 0) return bad(400);
  body.append(buffer_, 0, length_);
  buffer_.erase(0, length_ + kLineEnd.size());
  stage_ = Stage::ChunkSize;
  return std::nullopt;
}

Parser::Step Parser::read_trailer() {
  auto end = buffer_.find(kLineEnd);
  if (end == std::string::npos)
    return buffer_.size() > constants::kMaxHeaderBytes ? bad(431) : State::NeedMore;
  bool last = end == 0;
  buffer_.erase(0, end + kLineEnd.size());
  if (last) stage_ = Stage::Done;
  return std::nullopt;
}

Parser::Step Parser::read_until_close() {
  if (body.size() + buffer_.size() > max_body_) return bad(413);
  body += buffer_;
  buffer_.clear();
  return State::NeedMore;
}

Parser::State Parser::finish() {
  if (stage_ == Stage::UntilClose) stage_ = Stage::Done;
  return stage_ == Stage::Done ? State::Done : State::Bad;
}

}  // namespace corkmux::http
