#include "selector.h"

#include <algorithm>
#include <tao/pegtl.hpp>

namespace corkmux::kube {
namespace {

using namespace tao::pegtl;
using Op = Requirement::Op;

// Rules bear the names of the grammar, as is the custom with PEGTL.
// NOLINTBEGIN(readability-identifier-naming)
struct blanks : star<blank> {};
struct word : plus<sor<alnum, one<'-', '_', '.'>>> {};
struct key : seq<word, opt<one<'/'>, word>> {};
struct value : opt<word> {};
struct absent_key : key {};
struct equal : sor<string<'=', '='>, one<'='>> {};
struct unequal : string<'!', '='> {};
struct in : seq<keyword<'i', 'n'>> {};
struct not_in : seq<keyword<'n', 'o', 't', 'i', 'n'>> {};
struct values : seq<one<'('>, list<seq<blanks, value, blanks>, one<','>>, one<')'>> {};
struct one_value : value {};
struct compared : sor<seq<sor<equal, unequal>, blanks, one_value>, seq<sor<in, not_in>, blanks, values>> {};
struct absent : seq<one<'!'>, blanks, absent_key> {};
struct present : seq<key, blanks, opt<compared>> {};
struct requirement : seq<blanks, sor<absent, present>, blanks> {};
struct grammar : seq<sor<seq<blanks, eof>, seq<list<requirement, one<','>>, eof>>> {};

using Found = std::vector<Requirement>;
template <typename Rule>
struct action : nothing<Rule> {};
template <>
struct action<key> {
  template <typename Input>
  static void apply(const Input& in, Found& out) {
    out.push_back({Op::Exists, in.string(), {}});
  }
};
template <>
struct action<absent_key> {
  template <typename Input>
  static void apply(const Input& in, Found& out) {
    out.push_back({Op::Absent, in.string(), {}});
  }
};
template <Op op>
struct sets {
  static void apply0(Found& out) { out.back().op = op; }
};
template <>
struct action<equal> : sets<Op::In> {};
template <>
struct action<unequal> : sets<Op::NotIn> {};
template <>
struct action<in> : sets<Op::In> {};
template <>
struct action<not_in> : sets<Op::NotIn> {};
template <>
struct action<value> {
  template <typename Input>
  static void apply(const Input& in, Found& out) {
    out.back().values.push_back(in.string());
  }
};
template <>
struct action<one_value> : action<value> {};

// NOLINTEND(readability-identifier-naming)
}  // namespace

std::optional<std::vector<Requirement>> parse_selector(std::string_view text) {
  Found out;
  memory_input<> input(text.data(), text.size(), "selector");
  try {
    if (!parse<grammar, action>(input, out)) return std::nullopt;
  } catch (const parse_error&) {
    return std::nullopt;
  }
  return out;
}

bool selects(const std::vector<Requirement>& selector, const std::map<std::string, std::string>& labels) {
  return std::all_of(selector.begin(), selector.end(), [&](const Requirement& r) {
    auto label = labels.find(r.key);
    bool there = label != labels.end();
    bool listed = there && std::find(r.values.begin(), r.values.end(), label->second) != r.values.end();
    switch (r.op) {
      case Op::Exists:
        return there;
      case Op::Absent:
        return !there;
      case Op::In:
        return listed;
      default:  // `!=` and `notin` hold of what has no such label
        return !listed;
    }
  });
}

}  // namespace corkmux::kube
