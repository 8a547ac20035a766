#include "selector.h"

#include <algorithm>
#include <tao/pegtl.hpp>

namespace corkmux::kube {
namespace {

using namespace tao::pegtl;
using Operator = Requirement::Operator;

// Rules are named as in the grammar, as is customary with PEGTL.
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

using Requirements = std::vector<Requirement>;
template <typename Rule>
struct action : nothing<Rule> {};
template <>
struct action<key> {
  template <typename Input>
  static void apply(const Input& in, Requirements& out) {
    out.push_back({Operator::Exists, in.string(), {}});
  }
};
template <>
struct action<absent_key> {
  template <typename Input>
  static void apply(const Input& in, Requirements& out) {
    out.push_back({Operator::Absent, in.string(), {}});
  }
};
template <Operator parsed>
struct sets {
  static void apply0(Requirements& out) { out.back().op = parsed; }
};
template <>
struct action<equal> : sets<Operator::In> {};
template <>
struct action<unequal> : sets<Operator::NotIn> {};
template <>
struct action<in> : sets<Operator::In> {};
template <>
struct action<not_in> : sets<Operator::NotIn> {};
template <>
struct action<value> {
  template <typename Input>
  static void apply(const Input& in, Requirements& out) {
    out.back().values.push_back(in.string());
  }
};
template <>
struct action<one_value> : action<value> {};

// NOLINTEND(readability-identifier-naming)
}  // namespace

std::optional<std::vector<Requirement>> parse_selector(std::string_view text) {
  Requirements out;
  memory_input<> input(text.data(), text.size(), "selector");
  try {
    if (!parse<grammar, action>(input, out)) return std::nullopt;
  } catch (const parse_error&) {
    return std::nullopt;
  }
  return out;
}

namespace {

bool is_met(const Requirement& requirement, const std::map<std::string, std::string>& labels) {
  const auto label = labels.find(requirement.key);
  const bool present = label != labels.end();
  const auto& values = requirement.values;
  const bool listed = present && std::find(values.begin(), values.end(), label->second) != values.end();
  switch (requirement.op) {
    case Operator::Exists:
      return present;
    case Operator::Absent:
      return !present;
    case Operator::In:
      return listed;
    case Operator::NotIn:
      return !listed;  // also selects objects without the label
  }
  return false;
}

}  // namespace

bool selects(const std::vector<Requirement>& selector, const std::map<std::string, std::string>& labels) {
  return std::all_of(selector.begin(), selector.end(),
                     [&](const Requirement& requirement) { return is_met(requirement, labels); });
}

}  // namespace corkmux::kube
