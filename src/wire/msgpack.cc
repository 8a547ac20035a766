#include "msgpack.h"

#include "utf8.h"
#include "wire_constants.h"

namespace corkmux::codec {
namespace {

enum class InvalidText { Refuse, ReadAsNull, Keep };

/// Limits the nesting depth to protect the stack: in MessagePack one byte opens a level, and both the parser
/// and the destructor recurse.
/// Checks texts, since the parser takes any bytes while JSON cannot be written from them.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  BoundedBuilder(Json& out, InvalidText invalid_text)
      : json_sax_dom_parser(out, false), invalid_text_(invalid_text) {}
  bool string(std::string& text) {
    if (invalid_text_ == InvalidText::Keep || is_utf8(text)) return json_sax_dom_parser::string(text);
    return invalid_text_ == InvalidText::ReadAsNull && json_sax_dom_parser::null();
  }
  bool key(std::string& text) {
    if (is_utf8(text)) return json_sax_dom_parser::key(text);
    std::string no_name;
    return invalid_text_ == InvalidText::ReadAsNull && json_sax_dom_parser::key(no_name);
  }
  bool start_object(std::size_t size) { return enter() && json_sax_dom_parser::start_object(size); }
  bool end_object() {
    --depth_;
    return json_sax_dom_parser::end_object();
  }
  bool start_array(std::size_t size) { return enter() && json_sax_dom_parser::start_array(size); }
  bool end_array() {
    --depth_;
    return json_sax_dom_parser::end_array();
  }

 private:
  bool enter() { return ++depth_ <= constants::kMaxDepth; }
  InvalidText invalid_text_;
  int depth_ = 0;
};

std::optional<Json> unpack(std::string_view bytes, InvalidText invalid_text) {
  Json value;
  BoundedBuilder builder(value, invalid_text);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::msgpack, true))
    return std::nullopt;
  return value;
}

}  // namespace

std::string pack(const Json& value) {
  std::string out;
  Json::to_msgpack(value, out);
  return out;
}

std::optional<Json> unpack(std::string_view bytes) { return unpack(bytes, InvalidText::Refuse); }

std::optional<Json> unpack_answer(std::string_view bytes) { return unpack(bytes, InvalidText::ReadAsNull); }

std::optional<Json> unpack_with_encoded_bodies(std::string_view bytes) {
  return unpack(bytes, InvalidText::Keep);
}

std::size_t json_size(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace).size();
}

}  // namespace corkmux::codec
