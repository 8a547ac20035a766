#include "yaml_reader.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <map>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

namespace corkmux::kube {
namespace {

constexpr const char* kNonPlainTag = "!";  // tag that yaml-cpp gives to quoted scalars

bool is_null(const std::string& text) {
  return text.empty() || text == "~" || text == "null" || text == "Null" || text == "NULL";
}

std::optional<bool> parse_bool(const std::string& text) {
  if (text == "true" || text == "True" || text == "TRUE") return true;
  if (text == "false" || text == "False" || text == "FALSE") return false;
  return std::nullopt;
}

/// Parses the whole text as a number; nullopt if it is not a number.
template <typename Number>
std::optional<Number> parse_number(const std::string& text) {
  const char* begin = text.data();
  const char* end = begin + text.size();
  Number number = 0;
  auto [parsed_to, error] = std::from_chars(begin, end, number);
  if (error != std::errc() || parsed_to != end) return std::nullopt;
  return number;
}

/// Converts a scalar: a plain one by YAML 1.2's core schema, a quoted one to a string.
Json scalar_value(const std::string& tag, const std::string& text) {
  if (tag == kNonPlainTag) return text;
  if (is_null(text)) return nullptr;
  if (auto boolean = parse_bool(text)) return *boolean;
  if (auto whole = parse_number<std::int64_t>(text)) return *whole;
  // Words such as `inf`, which from_chars accepts, are strings.
  const bool only_digits_and_signs = text.find_first_not_of("0123456789+-.eE") == std::string::npos;
  if (auto real = parse_number<double>(text); real && only_digits_and_signs) return *real;
  return text;
}

/// Builds the value from the parser's events and counts the values of the result while building.
class ValueBuilder : public YAML::EventHandler {
 public:
  Json take() { return std::move(result_); }

  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t anchor) override { add_scalar(nullptr, anchor); }
  void OnScalar(const YAML::Mark&, const std::string& tag, YAML::anchor_t anchor,
                const std::string& text) override {
    // A key is always a string, even if it looks like a number or a boolean.
    const bool is_key = !open_.empty() && open_.back().value.is_object() && !open_.back().key;
    if (is_key) return set_key(text);
    add_scalar(scalar_value(tag, text), anchor);
  }
  void OnAlias(const YAML::Mark&, YAML::anchor_t anchor) override {
    auto anchored = anchors_.find(anchor);
    if (anchored == anchors_.end()) throw UnsupportedBody("an alias of what it is part of");
    count(anchored->second.values);
    insert_value(Json(anchored->second.value));
  }
  void OnSequenceStart(const YAML::Mark&, const std::string&, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value) override {
    begin_collection(Json::array(), anchor);
  }
  void OnSequenceEnd() override { end_collection(); }
  void OnMapStart(const YAML::Mark&, const std::string&, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value) override {
    begin_collection(Json::object(), anchor);
  }
  void OnMapEnd() override { end_collection(); }

 private:
  /// A sequence or map whose end event has not arrived yet.
  struct OpenCollection {
    Json value;
    std::optional<std::string> key;  // of the next value of a map
    YAML::anchor_t anchor = 0;
    int values_before = 0;
  };
  struct AnchoredValue {
    Json value;
    int values = 0;  // number of values it contains, itself included
  };

  void count(int values) {
    values_ += values;
    if (values_ > kMaxBodyValues) throw UnsupportedBody("too many values");
  }

  void set_key(const std::string& text) {
    count(1);
    if (open_.back().value.contains(text)) throw UnsupportedBody("key given twice: " + text);
    open_.back().key = text;
  }

  void add_scalar(Json value, YAML::anchor_t anchor) {
    count(1);
    if (anchor) anchors_[anchor] = {value, 1};
    insert_value(std::move(value));
  }

  void begin_collection(Json value, YAML::anchor_t anchor) {
    count(1);
    if (open_.size() >= static_cast<std::size_t>(kMaxBodyDepth)) throw UnsupportedBody("nested too deeply");
    open_.push_back({std::move(value), std::nullopt, anchor, values_});
  }

  void end_collection() {
    OpenCollection ended = std::move(open_.back());
    open_.pop_back();
    if (ended.anchor) anchors_[ended.anchor] = {ended.value, values_ - ended.values_before + 1};
    insert_value(std::move(ended.value));
  }

  void insert_value(Json value) {
    if (open_.empty()) {
      result_ = std::move(value);
      return;
    }
    OpenCollection& parent = open_.back();
    if (parent.value.is_array()) return parent.value.push_back(std::move(value));
    if (!parent.key) throw UnsupportedBody("a key is not a text");
    parent.value[*std::exchange(parent.key, std::nullopt)] = std::move(value);
  }

  Json result_;
  std::vector<OpenCollection> open_;
  std::map<YAML::anchor_t, AnchoredValue> anchors_;
  int values_ = 0;
};

}  // namespace

Json read_yaml(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  ValueBuilder document;
  ValueBuilder next_document;
  if (!parser.HandleNextDocument(document)) throw UnsupportedBody("the body is empty");
  if (parser.HandleNextDocument(next_document)) throw UnsupportedBody("the body is not one YAML document");
  return document.take();
}

}  // namespace corkmux::kube
