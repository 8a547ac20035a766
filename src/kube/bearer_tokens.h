// Bearer tokens (RFC 6750) and the access that each token has per namespace. The token file is in protobuf
// text format, see proto/operator.proto; its contents are never logged.
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
  /// The access of a token to a namespace.
  enum class Access { Read, ReadAndChange };

  struct Token {
    std::string name;
    std::string secret;
    std::map<std::string, Access> access;  // by namespace; a namespace without an entry is denied
    bool reads(const std::string& namespace_name) const { return access.contains(namespace_name); }
    bool changes(const std::string& namespace_name) const {
      return reads(namespace_name) && access.at(namespace_name) == Access::ReadAndChange;
    }
  };

  /// Both throw SettingsError. The error has the name of the file and of the token, never the secret.
  static BearerTokens parse(const std::string& text, const std::string& file);
  static BearerTokens load(const std::string& file);

  /// Returns the token of an Authorization header; null if there is no matching token. The time it takes does
  /// not depend on how closely the header matches a token.
  const Token* find(std::string_view authorization) const;

 private:
  std::vector<Token> tokens_;
};

}  // namespace corkmux::kube
