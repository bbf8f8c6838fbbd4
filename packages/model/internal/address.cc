// Validation of numeric addresses with ports.

#include "model/internal/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace limpetwood::model::internal {

bool
IsAddress(std::string_view aText, bool aAllowAnyPort)
{
  size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  std::string host(aText.substr(0, colon));
  std::string_view digits = aText.substr(colon + 1);
  uint16_t port = 0;
  auto [end, ec] =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec != std::errc() || end != digits.data() + digits.size() ||
      (port == 0 && !aAllowAnyPort) || host.find('\0') != std::string::npos) {
    return false;
  }
  in6_addr buf{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), &buf) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), &buf) == 1;
}

} // namespace limpetwood::model::internal
