#include "http_message.h"

namespace corkmux::http {
namespace {

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    default:
      return status >= 500 ? "Service Unavailable" : "Status";
  }
}

/// Prevents header injection: drops non-printable characters and replaces quotes and backslashes.
std::string quoted_text(const std::string& text) {
  std::string out;
  for (char character : text) {
    if (character < ' ' || character >= 127) continue;
    out += character == '"' || character == '\\' ? '\'' : character;
  }
  return out;
}

}  // namespace

std::string serialize(const Response& response, bool keep_alive, bool chunked) {
  std::string out =
      "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) + "\r\n";
  out += std::string("Content-Type: ") + response.content_type + "\r\n";
  out += chunked ? "Transfer-Encoding: chunked\r\n"
                 : "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  for (const auto& warning : response.warnings) out += "Warning: 299 - \"" + quoted_text(warning) + "\"\r\n";
  if (response.retry_after_s > 0) out += "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
  if (!keep_alive) out += "Connection: close\r\n";
  out += "\r\n";
  out += response.body;
  return out;
}

}  // namespace corkmux::http
