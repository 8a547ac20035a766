#include "body.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include "kube_constants.h"

namespace corkmux::kube {
namespace c = constants;
namespace {

struct TooMuch : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A plain scalar by YAML 1.2's core schema; what is quoted is text.
Json scalar(const std::string& tag, const std::string& text) {
  if (tag == "!") return text;
  if (text.empty() || text == "~" || text == "null" || text == "Null" || text == "NULL") return nullptr;
  if (text == "true" || text == "True" || text == "TRUE") return true;
  if (text == "false" || text == "False" || text == "FALSE") return false;
  const char *first = text.data(), *last = first + text.size();
  std::int64_t whole = 0;
  if (auto [end, e] = std::from_chars(first, last, whole); e == std::errc() && end == last) return whole;
  double real = 0;
  bool numeric = text.find_first_not_of("0123456789+-.eE") == std::string::npos;
  if (auto [end, e] = std::from_chars(first, last, real); numeric && e == std::errc() && end == last)
    return real;
  return text;
}

/// Builds the value from the parser's events, and counts as it goes. Guards against two kinds of input that
/// yaml-cpp's own loading takes without end: aliases of aliases, where a few lines stand for more than memory
/// holds, and broken streams of which version 0.7 makes documents for ever.
class Builder : public YAML::EventHandler {
 public:
  Json take() { return std::move(result_); }
  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t anchor) override { single(nullptr, anchor); }
  void OnScalar(const YAML::Mark&, const std::string& tag, YAML::anchor_t anchor,
                const std::string& text) override {
    // A key is a text whatever it looks like.
    if (!open_.empty() && open_.back().value.is_object() && !open_.back().key) return take_key(text);
    single(scalar(tag, text), anchor);
  }
  void OnAlias(const YAML::Mark&, YAML::anchor_t anchor) override {
    auto it = anchors_.find(anchor);
    if (it == anchors_.end()) throw TooMuch("an alias of what it is part of");
    count(it->second.second);
    place(Json(it->second.first));
  }
  void OnSequenceStart(const YAML::Mark&, const std::string&, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value) override {
    begin(Json::array(), anchor);
  }
  void OnSequenceEnd() override { end(); }
  void OnMapStart(const YAML::Mark&, const std::string&, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value) override {
    begin(Json::object(), anchor);
  }
  void OnMapEnd() override { end(); }

 private:
  struct Open {
    Json value;
    std::optional<std::string> key;
    YAML::anchor_t anchor;
    int counted_before;
  };
  void count(int values) {
    counted_ += values;
    if (counted_ > c::kKubeValues) throw TooMuch("too many values");
  }
  void take_key(const std::string& text) {
    count(1);
    if (open_.back().value.contains(text)) throw TooMuch("key given twice: " + text);
    open_.back().key = text;
  }
  void single(Json value, YAML::anchor_t anchor) {
    count(1);
    if (anchor) anchors_[anchor] = {value, 1};
    place(std::move(value));
  }
  void begin(Json value, YAML::anchor_t anchor) {
    count(1);
    if (open_.size() >= static_cast<std::size_t>(c::kKubeDepth)) throw TooMuch("nested too deeply");
    open_.push_back({std::move(value), std::nullopt, anchor, counted_});
  }
  void end() {
    Open done = std::move(open_.back());
    open_.pop_back();
    if (done.anchor) anchors_[done.anchor] = {done.value, counted_ - done.counted_before + 1};
    place(std::move(done.value));
  }
  void place(Json value) {
    if (open_.empty()) {
      result_ = std::move(value);
    } else if (open_.back().value.is_array()) {
      open_.back().value.push_back(std::move(value));
    } else {
      if (!open_.back().key) throw TooMuch("a key is not a text");
      open_.back().value[*std::exchange(open_.back().key, std::nullopt)] = std::move(value);
    }
  }

  Json result_;
  std::vector<Open> open_;
  std::map<YAML::anchor_t, std::pair<Json, int>> anchors_;
  int counted_ = 0;
};

/// Whether every text in it can be told again: JSON allows no other bytes than UTF-8.
bool tellable(const Json& value) {
  try {
    value.dump();
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

}  // namespace

ParsedBody parse_body(const std::string& text, const std::string& content_type) {
  ParsedBody out;
  try {
    if (content_type.find("yaml") != std::string::npos) {
      std::istringstream stream(text);
      YAML::Parser parser(stream);
      Builder builder, rest;
      if (!parser.HandleNextDocument(builder)) return {{}, "the body is empty"};
      if (parser.HandleNextDocument(rest)) return {{}, "the body is not one YAML document"};
      out.value = builder.take();
    } else {
      out.value = Json::parse(
          text,
          [](int depth, Json::parse_event_t, Json&) {
            if (depth > c::kKubeDepth) throw TooMuch("nested too deeply");
            return true;
          },
          false);
      if (out.value.is_discarded()) return {{}, "the body is not JSON"};
    }
  } catch (const TooMuch& e) {
    return {{}, e.what()};
  } catch (const YAML::Exception& e) {
    return {{}, std::string("the body is not YAML: ") + e.what()};
  }
  if (!out.value.is_object()) return {{}, "the body is not an object"};
  if (!tellable(out.value)) return {{}, "the body is not UTF-8"};
  return out;
}

}  // namespace corkmux::kube
