#include "utf8.h"

#include <algorithm>
#include <boost/locale/utf.hpp>

namespace corkmux::codec {

bool is_utf8(std::string_view bytes) {
  const auto is_ascii = [](char byte) { return static_cast<unsigned char>(byte) < 0x80; };
  const auto* position = std::find_if_not(bytes.begin(), bytes.end(), is_ascii);
  while (position != bytes.end())
    if (!boost::locale::utf::is_valid_codepoint(
            boost::locale::utf::utf_traits<char>::decode(position, bytes.end())))
      return false;
  return true;
}

}  // namespace corkmux::codec
