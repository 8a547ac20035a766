#include "bearer_tokens.h"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <fstream>
#include <set>
#include <sstream>

#include "operator.pb.h"
#include "settings.h"

namespace corkmux::kube {
namespace {

constexpr std::string_view kSecretCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~+/=";

/// Records the line of the first error and drops the parser's messages, which could quote a secret.
struct FirstErrorLine : google::protobuf::io::ErrorCollector {
  int line = 0;  // from 1 on; 0: no error
  void AddError(int error_line, int, const std::string&) override {
    if (line == 0) line = error_line + 1;
  }
};

TokenFile parse_file(const std::string& text, const std::string& file) {
  TokenFile message;
  FirstErrorLine error;
  google::protobuf::TextFormat::Parser parser;
  parser.RecordErrorsTo(&error);
  if (!parser.ParseFromString(text, &message))
    throw SettingsError(file + ": line " + std::to_string(error.line) +
                        ": not as proto/operator.proto has it");
  return message;
}

bool valid_secret(const std::string& secret) {
  if (secret.find_first_not_of(kSecretCharacters) != std::string::npos) return false;
  return secret.size() >= kMinSecretBytes && secret.size() <= kMaxSecretBytes;
}

BearerTokens::Token to_token(const corkmux::Token& message) {
  using Access = BearerTokens::Access;
  BearerTokens::Token token{message.name(), message.secret(), {}};
  for (const auto& namespace_name : message.reads()) token.access.emplace(namespace_name, Access::Read);
  for (const auto& namespace_name : message.changes()) token.access[namespace_name] = Access::ReadAndChange;
  return token;
}

unsigned char byte_at(std::string_view text, std::size_t index) {
  return static_cast<unsigned char>(index < text.size() ? text[index] : 0);
}

/// Compares every byte, so that the time does not reveal how many bytes match.
bool equal_in_constant_time(std::string_view secret, std::string_view given) {
  std::size_t differences = secret.size() ^ given.size();
  for (std::size_t i = 0; i < kMaxSecretBytes; ++i)
    differences |= static_cast<std::size_t>(byte_at(secret, i) ^ byte_at(given, i));
  return differences == 0;
}

}  // namespace

BearerTokens BearerTokens::parse(const std::string& text, const std::string& file) {
  const TokenFile message = parse_file(text, file);
  BearerTokens tokens;
  std::set<std::string> names;
  std::set<std::string> secrets;
  for (const auto& token : message.token()) {
    const std::string where = file + ": token '" + token.name() + "': ";
    if (token.name().empty() || !names.insert(token.name()).second)
      throw SettingsError(where + "name missing or given twice");
    if (!valid_secret(token.secret()))
      throw SettingsError(where + "secret: has to be " + std::to_string(kMinSecretBytes) + " to " +
                          std::to_string(kMaxSecretBytes) + " letters, digits or -._~+/=");
    if (!secrets.insert(token.secret()).second) throw SettingsError(where + "has another one's secret");
    tokens.tokens_.push_back(to_token(token));
  }
  if (tokens.tokens_.empty()) throw SettingsError(file + ": there is no token");
  return tokens;
}

BearerTokens BearerTokens::load(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw SettingsError(file + ": cannot be read");
  return parse(text.str(), file);
}

const BearerTokens::Token* BearerTokens::find(std::string_view authorization) const {
  constexpr std::string_view kScheme = "Bearer ";
  if (authorization.substr(0, kScheme.size()) != kScheme) return nullptr;
  const std::string_view given = authorization.substr(kScheme.size());
  const Token* found = nullptr;
  for (const auto& token : tokens_)
    if (equal_in_constant_time(token.secret, given)) found = &token;
  return found;
}

}  // namespace corkmux::kube
