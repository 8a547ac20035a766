#include "tokens.h"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <fstream>
#include <set>
#include <sstream>

#include "kube_constants.h"
#include "operator.pb.h"
#include "settings.h"

namespace corkmux::kube {
namespace c = constants;

Tokens Tokens::parse(const std::string& text, const std::string& file) {
  TokenFile message;
  google::protobuf::TextFormat::Parser parser;
  // The parser's own messages could quote a secret.
  struct Silent : google::protobuf::io::ErrorCollector {
    int line = 0;
    void AddError(int at, int, const std::string&) override { line = line ? line : at + 1; }
  } errors;
  parser.RecordErrorsTo(&errors);
  if (!parser.ParseFromString(text, &message))
    throw SettingsError(file + ": line " + std::to_string(errors.line) +
                        ": not as proto/operator.proto has it");
  Tokens out;
  std::set<std::string> names;
  std::set<std::string> secrets;
  for (const auto& t : message.token()) {
    const std::string where = file + ": token '" + t.name() + "': ";
    if (t.name().empty() || !names.insert(t.name()).second)
      throw SettingsError(where + "name missing or given twice");
    bool plain =
        t.secret().find_first_not_of(
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~+/=") == std::string::npos;
    if (!plain || t.secret().size() < c::kTokenLeast || t.secret().size() > c::kTokenMost)
      throw SettingsError(where + "secret: has to be " + std::to_string(c::kTokenLeast) + " to " +
                          std::to_string(c::kTokenMost) + " letters, digits or -._~+/=");
    if (!secrets.insert(t.secret()).second) throw SettingsError(where + "has another one's secret");
    Token token{t.name(), t.secret(), {}};
    for (const auto& space : t.reads()) token.spaces.emplace(space, false);
    for (const auto& space : t.changes()) token.spaces[space] = true;
    out.tokens_.push_back(std::move(token));
  }
  if (out.tokens_.empty()) throw SettingsError(file + ": there is no token");
  return out;
}

Tokens Tokens::load(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw SettingsError(file + ": cannot be read");
  return parse(text.str(), file);
}

const Tokens::Token* Tokens::find(std::string_view authorization) const {
  constexpr std::string_view kScheme = "Bearer ";
  if (authorization.substr(0, kScheme.size()) != kScheme) return nullptr;
  auto given = authorization.substr(kScheme.size());
  const Token* found = nullptr;
  for (const auto& t : tokens_) {
    // Every byte of every token is compared, so the time says nothing about how much was right.
    std::size_t differs = t.secret.size() ^ given.size();
    for (std::size_t i = 0; i < c::kTokenMost; ++i) {
      auto byte = [i](std::string_view s) { return static_cast<unsigned char>(i < s.size() ? s[i] : 0); };
      differs |= static_cast<std::size_t>(byte(t.secret) ^ byte(given));
    }
    if (differs == 0) found = &t;
  }
  return found;
}

}  // namespace corkmux::kube
