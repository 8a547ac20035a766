// Reads and checks the fields of a table of a TOML file. Throws SettingsError, which names the file and the
// field.
#pragma once
#include <algorithm>
#include <cmath>
#include <fstream>
#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "settings.h"

namespace corkmux {

/// Reads one table. The file's name and the table have to outlive the reader.
class Reader {
 public:
  Reader(const std::string& file, const toml::table& table, std::string where = "")
      : file_(file), table_(table), where_(std::move(where)) {}

  [[noreturn]] void fail(const std::string& name, const std::string& what) const {
    throw SettingsError(file_ + ": " + where_ + name + ": " + what);
  }
  std::string text_or(const char* name, const std::string& default_value) const {
    return table_.contains(name) ? text(name) : default_value;
  }
  bool flag_or(const char* name, bool default_value) const {
    if (!table_.contains(name)) return default_value;
    auto value = table_[name].value<bool>();
    if (!value) fail(name, "neither true nor false");
    return *value;
  }
  std::string text(const char* name) const {
    auto value = table_[name].value<std::string>();
    if (!value || value->empty()) fail(name, "missing or not a text");
    return *value;
  }
  /// Reads a number that is not negative, at most kMaxAmount and, if `positive`, not 0.
  double amount(const char* name, bool positive) const {
    auto value = table_[name].value<double>();
    if (!value) fail(name, "missing or not a number");
    if (!std::isfinite(*value) || *value < 0 || *value > kMaxAmount || (positive && *value <= 0))
      fail(name, "out of range");
    return *value;
  }
  double amount_or(const char* name, double default_value) const {
    return table_.contains(name) ? amount(name, false) : default_value;
  }
  /// A reader of the table in that field.
  Reader sub(const char* name) const {
    const auto* table = table_[name].as_table();
    if (!table) fail(name, "missing or not a table");
    return Reader(file_, *table, where_ + name + ".");
  }
  bool has(const char* name) const { return table_.contains(name); }
  /// Rejects fields with other names; for this project's own files, where an unknown field is an error.
  template <typename Names = std::initializer_list<std::string_view>>
  void only(const Names& names) const {
    for (const auto& [key, value] : table_)
      if (std::find(names.begin(), names.end(), key.str()) == names.end())
        fail(std::string(key.str()), "no such field");
  }
  /// Calls `visit` with a Reader of each table in the list.
  template <typename Visit>
  void each(const char* name, bool required, Visit visit) const {
    const auto* list = table_[name].as_array();
    if (!list) {
      if (required || table_.contains(name)) fail(name, "missing or not a list");
      return;
    }
    int index = 0;
    for (const auto& item : *list) {
      std::string at = where_ + name + "[" + std::to_string(index) + "]";
      ++index;
      const auto* table = item.as_table();
      if (!table) throw SettingsError(file_ + ": " + at + ": not a table");
      visit(Reader(file_, *table, at + "."));
    }
  }
  std::vector<double> amounts(const char* name) const {
    const auto* list = table_[name].as_array();
    if (!list || list->empty()) fail(name, "missing or empty");
    std::vector<double> out;
    for (const auto& item : *list) {
      auto value = item.value<double>();
      if (!value || !std::isfinite(*value) || *value < 0) fail(name, "not a list of numbers");
      out.push_back(*value);
    }
    return out;
  }
  std::vector<std::string> texts(const char* name) const {
    const auto* list = table_[name].as_array();
    if (!list || list->empty()) fail(name, "missing or empty");
    std::vector<std::string> out;
    for (const auto& item : *list) {
      auto value = item.value<std::string>();
      if (!value) fail(name, "not a list of texts");
      out.push_back(*value);
    }
    return out;
  }

 private:
  static constexpr double kMaxAmount = 1e9;  // whole numbers up to this fit an int

  const std::string& file_;
  const toml::table& table_;
  std::string where_;
};

/// Throws SettingsError if the file cannot be read.
inline std::string read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw SettingsError(file + ": cannot be read");
  std::ostringstream out;
  out << in.rdbuf();
  if (in.bad()) throw SettingsError(file + ": cannot be read");
  return out.str();
}

inline toml::table parse_toml(const std::string& text, const std::string& file) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    std::ostringstream at;
    at << error.source().begin;
    throw SettingsError(file + ": not TOML: " + std::string(error.description()) + " (" + at.str() + ")");
  }
}

}  // namespace corkmux
