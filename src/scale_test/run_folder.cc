#include "run_folder.h"

#include <stdlib.h>

#include <fstream>
#include <stdexcept>
#include <system_error>

namespace corkmux::scale_test {

RunFolder::RunFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "corkmux-scale-test-XXXXXX").string();
  if (!::mkdtemp(name.data())) throw std::runtime_error(name + " cannot be made");
  path_ = name;
}

RunFolder::~RunFolder() {
  if (kept_) return;
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

void RunFolder::write(const std::string& name, const std::string& text) const {
  std::ofstream out(path_ / name);
  out << text;
  if (!out.flush()) throw std::runtime_error(file(name) + ": cannot be written");
}

}  // namespace corkmux::scale_test
