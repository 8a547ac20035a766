// HTTP requests and responses as values, and the outcome of a request that was sent.
#pragma once
#include <string>
#include <utility>
#include <vector>

namespace corkmux::http {

struct Request {
  std::string method;
  std::string target;
  std::string body;
  bool keep_alive = true;
  // Header values; empty if the header is missing:
  std::string content_type = {};
  std::string accept = {};
  std::string authorization = {};
};

struct Response {
  int status = 200;
  std::string body;
  int retry_after_s = 0;
  bool close = false;
  const char* content_type = "application/msgpack";
  std::vector<std::string> warnings = {};  // RFC 9111's Warning with code 299; printable ASCII only
};

/// How a request ended.
struct Result {
  int status = 0;  // 0: no response; the request may have been executed unless `sent` is false
  std::string body;
  bool sent = true;        // false: the request certainly never left this process
  std::string error = {};  // why there is no response, for logs
  bool ok() const { return status == 200; }

  static Result response(int status, std::string body) { return {status, std::move(body), true}; }
  /// The request never left this process.
  static Result not_sent(std::string why) { return {0, "", false, std::move(why)}; }
  /// The request may have been executed.
  static Result unanswered(std::string why) { return {0, "", true, std::move(why)}; }
};

/// Returns the bytes of a response; if `chunked`, of its head only, since the body follows in chunks.
std::string serialize(const Response& response, bool keep_alive, bool chunked = false);

}  // namespace corkmux::http
