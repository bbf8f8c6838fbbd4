// A numeric IP address with a port.

#pragma once

#include "base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace limpetwood::http {

struct Endpoint
{
  // Numeric IPv4 or IPv6 address, without brackets.
  std::string address;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

// Parses "127.0.0.1:8080" or "[::1]:8080". Host names are rejected with
// `Errc::kInvalidArgument`, since instances address each other by IP address.
Result<Endpoint>
ParseEndpoint(std::string_view aText);

// Formats an endpoint as `ParseEndpoint` reads it, with brackets around an IPv6
// address.
std::string
FormatEndpoint(const Endpoint& aEndpoint);

} // namespace limpetwood::http
