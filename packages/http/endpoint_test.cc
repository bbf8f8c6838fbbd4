// Guards against accepting host names, or addresses without a valid port, as
// endpoints.

#include "http/endpoint.h"

#include <gtest/gtest.h>

namespace limpetwood::http {
namespace {

TEST(Endpoint, AcceptsNumericAddressesOnly)
{
  EXPECT_EQ(ParseEndpoint("127.0.0.1:80").Value(),
            (Endpoint{ "127.0.0.1", 80 }));
  EXPECT_EQ(ParseEndpoint("[::1]:80").Value(), (Endpoint{ "::1", 80 }));
  EXPECT_FALSE(ParseEndpoint("localhost:80"));
  EXPECT_FALSE(ParseEndpoint("127.0.0.1"));
  EXPECT_FALSE(ParseEndpoint("127.0.0.1:70000"));
  EXPECT_FALSE(ParseEndpoint("::1:80"));
}

} // namespace
} // namespace limpetwood::http
