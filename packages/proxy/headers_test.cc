// Tests of header parsing and of the removal of hop-by-hop headers.

#include "proxy/headers.h"

#include <gtest/gtest.h>

namespace limpetwood::proxy {
namespace {

http::RequestHead
Head(std::initializer_list<http::Headers::Field> aFields)
{
  http::RequestHead head;
  head.target = "/svc/demo/a?b";
  for (const auto& [name, value] : aFields) {
    head.headers.Add(name, value);
  }
  return head;
}

// Guards against routing a target of another path to a service, and against a
// query that is read as part of the service's name.
TEST(Headers, ServiceIsReadFromTarget)
{
  EXPECT_EQ(ServiceFromTarget("/svc/demo/a"), "demo");
  EXPECT_EQ(ServiceFromTarget("/svc/demo?x"), "demo");
  EXPECT_EQ(ServiceFromTarget("/svc/"), "");
  EXPECT_EQ(ServiceFromTarget("/v1/jobs"), "");
}

// Guards against a default in place of an invalid value: a misread "no" could
// run a request twice, and a misread deadline could make it wait too long.
TEST(Headers, UnreadableValuesAreRefused)
{
  Millis now(1000);
  EXPECT_FALSE(
    ReadRequestInfo(Head({ { "Limpetwood-Repeatable", "nope" } }), now));
  EXPECT_FALSE(
    ReadRequestInfo(Head({ { "Limpetwood-Deadline-Ms", "5s" } }), now));
  EXPECT_FALSE(
    ReadRequestInfo(Head({ { "Limpetwood-Deadline-Ms", "-5" } }), now));
  EXPECT_FALSE(
    ReadRequestInfo(Head({ { "Limpetwood-Priority", "high" } }), now));
  auto info = ReadRequestInfo(Head({ { "Limpetwood-Repeatable", "No" },
                                     { "Limpetwood-Deadline-Ms", "250" } }),
                              now);
  ASSERT_TRUE(info);
  EXPECT_FALSE(info->repeatable);
  EXPECT_EQ(info->deadline, Millis(1250));
}

// Guards against forwarding hop-by-hop headers, which would change how the
// backend server treats its connection to the proxy.
TEST(Headers, HopByHopFieldsAreRemoved)
{
  http::RequestHead head = Head({ { "Connection", "keep-alive, X-Hop" },
                                  { "x-hop", "1" },
                                  { "TE", "trailers" },
                                  { "Expect", "100-continue" },
                                  { "X-End", "2" },
                                  { "Limpetwood-Deadline-Ms", "900" } });
  auto forwarded = MakeServerRequestHead(head, Millis(700));
  ASSERT_EQ(forwarded.headers.Fields().size(), 2U);
  EXPECT_EQ(forwarded.headers.Get("X-End"), "2");
  EXPECT_EQ(forwarded.headers.Get("Limpetwood-Deadline-Ms"), "700");
}

} // namespace
} // namespace limpetwood::proxy
