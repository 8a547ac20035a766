// An incremental parser of HTTP/1.1 requests or responses. Accepts the bytes in pieces of any size;
// independent of sockets.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace corkmux::http {

class Parser {
 public:
  enum class Mode { Request, Response };
  enum class State { NeedMore, Done, Bad };
  Parser(Mode mode, std::size_t max_body) : mode_(mode), max_body_(max_body) {}
  State feed(std::string_view bytes);
  /// Handles a close by the peer: completes a response whose body is delimited by the close.
  State finish();
  /// Prepares for the next message; keeps the bytes received after the last one.
  void reset();

  int error_status() const { return error_; }  // 400, 413, 431 or 501 after Bad
  bool idle() const { return stage_ == Stage::Head && buffer_.empty(); }

  // The parsed message; complete after Done.
  std::string method;
  std::string target;
  std::string body;
  std::string content_type;
  std::string accept;
  std::string authorization;
  int status = 0;
  bool keep_alive = true;

 private:
  enum class Stage { Head, Body, ChunkSize, ChunkData, Trailer, UntilClose, Done, Bad };
  /// How the head delimits the body.
  struct Framing {
    bool has_length = false;
    bool chunked = false;
  };
  /// The state to return, or nullopt if the next stage can continue with the buffered bytes.
  using Step = std::optional<State>;
  Step advance();
  Step read_head();
  Step read_body();
  Step read_chunk_size();
  Step read_chunk_data();
  Step read_trailer();
  Step read_until_close();

  State bad(int status);
  bool reject(int status);
  bool parse_head(std::string_view head);
  bool parse_request_line(std::string_view line);
  bool parse_status_line(std::string_view line);
  bool parse_version(std::string_view version);
  bool parse_header(std::string_view line, Framing& framing);
  bool parse_framing_header(std::string_view name, std::string_view value, Framing& framing);
  bool begin_body(const Framing& framing);

  Mode mode_;
  std::size_t max_body_;  // bytes
  Stage stage_ = Stage::Head;
  std::string buffer_;
  std::size_t scanned_ = 0;  // bytes of the buffer already searched for the end of the head
  std::size_t length_ = 0;   // bytes of the body or of the current chunk
  int error_ = 400;
};

}  // namespace corkmux::http
