#include "msgpack.h"

#include "wire_constants.h"

namespace corkmux::codec {
namespace {

/// Limits the nesting depth to protect the stack: in MessagePack one byte opens a level, and both the parser
/// and the destructor recurse.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  explicit BoundedBuilder(Json& out) : json_sax_dom_parser(out, false) {}
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
  int depth_ = 0;
};

}  // namespace

std::string pack(const Json& value) {
  std::string out;
  Json::to_msgpack(value, out);
  return out;
}

std::optional<Json> unpack(std::string_view bytes) {
  Json value;
  BoundedBuilder builder(value);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::msgpack, true))
    return std::nullopt;
  return value;
}

}  // namespace corkmux::codec
