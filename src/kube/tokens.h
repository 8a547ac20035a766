// Bearer tokens and what each may do (RFC 6750; rights per namespace). The file is protobuf text format, see
// proto/operator.proto; what is in it never reaches a log.
#pragma once
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace corkmux::kube {

class Tokens {
 public:
  /// Throws SettingsError, which names the file and the token's name, never its secret.
  static Tokens parse(const std::string& text, const std::string& file);
  static Tokens load(const std::string& file);

  struct Token {
    std::string name;
    std::string secret;
    std::map<std::string, bool> spaces;  // namespaces it may read; whether it may change them as well
    bool reads(const std::string& space) const { return spaces.count(space) > 0; }
    bool changes(const std::string& space) const { return reads(space) && spaces.at(space); }
  };
  /// Of an Authorization header; null: none of ours. Takes the same time whichever token comes closest.
  const Token* find(std::string_view authorization) const;

 private:
  std::vector<Token> tokens_;
};

}  // namespace corkmux::kube
