#include "porttiller/http/HttpTypes.h"

#include <doctest/doctest.h>

using namespace porttiller;

TEST_CASE("Headers in which a server describes itself are forwarded")
{
  CHECK(WithoutHopHeaders({ { "Porttiller-Server-Limit", "1.4" },
                            { "Porttiller-Told", "1" },
                            { "Connection", "close" },
                            { "X-Own", "2" } }) ==
        HttpHeaders{ { "Porttiller-Server-Limit", "1.4" }, { "X-Own", "2" } });
}
