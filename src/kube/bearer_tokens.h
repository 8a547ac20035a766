// Bearer tokens and what each may do (RFC 6750; rights per namespace). The file is protobuf text format, see
// proto/operator.proto; what is in it never reaches a log.
#pragma once
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace corkmux::kube {

inline constexpr std::size_t kMinSecretBytes = 16;
inline constexpr std::size_t kMaxSecretBytes = 256;

/// The tokens of one file. Immutable once loaded.
class BearerTokens {
 public:
  /// What a token allows in a namespace.
  enum class Access { Read, ReadAndChange };

  struct Token {
    std::string name;
    std::string secret;
    std::map<std::string, Access> access;  // by namespace; none to those that are not in it
    bool reads(const std::string& namespace_name) const { return access.contains(namespace_name); }
    bool changes(const std::string& namespace_name) const {
      return reads(namespace_name) && access.at(namespace_name) == Access::ReadAndChange;
    }
  };

  /// Both throw SettingsError, which names the file and the token's name, never its secret.
  static BearerTokens parse(const std::string& text, const std::string& file);
  static BearerTokens load(const std::string& file);

  /// The token of an Authorization header; null: none of ours. Takes the same time whichever token comes
  /// closest.
  const Token* find(std::string_view authorization) const;

 private:
  std::vector<Token> tokens_;
};

}  // namespace corkmux::kube
