#include "http/endpoint.h"

#include "base/error.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace limpetwood::http {

Result<Endpoint>
ParseEndpoint(std::string_view aText)
{
  auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return make_error_code(Errc::kInvalidArgument);
  }
  std::string_view host = aText.substr(0, colon);
  std::string_view digits = aText.substr(colon + 1);
  bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  Endpoint endpoint;
  endpoint.address = host;
  auto [end, ec] = std::from_chars(
    digits.data(), digits.data() + digits.size(), endpoint.port);
  if (ec != std::errc() || end != digits.data() + digits.size()) {
    return make_error_code(Errc::kInvalidArgument);
  }
  boost::system::error_code addressError;
  auto address = boost::asio::ip::make_address(endpoint.address, addressError);
  if (addressError || address.is_v6() != bracketed) {
    return make_error_code(Errc::kInvalidArgument);
  }
  return endpoint;
}

std::string
FormatEndpoint(const Endpoint& aEndpoint)
{
  std::string host = aEndpoint.address;
  if (host.find(':') != std::string::npos) {
    host = "[" + host + "]";
  }
  return host + ":" + std::to_string(aEndpoint.port);
}

} // namespace limpetwood::http
