#include "porttiller/core/ServerIncarnation.h"

#include <doctest/doctest.h>

using namespace porttiller;

TEST_CASE("Start times order incarnations of the same ID only")
{
  const BackendServerName id("a");
  const ServerIncarnation unknown(id);
  const ServerIncarnation first(id, 1000);
  const ServerIncarnation second(id, 2000);
  CHECK(second.Supersedes(first));
  CHECK(first.Supersedes(unknown));
  CHECK_FALSE(first.Supersedes(first));
  CHECK_FALSE(first.Supersedes(second));
  const ServerIncarnation other(BackendServerName("b"), 3000);
  CHECK_FALSE(other.Supersedes(first));
  CHECK_FALSE(first.Supersedes(other));
  CHECK((first <=> other) == std::partial_ordering::unordered);
  CHECK(first != other);
}

TEST_CASE("ToString includes the start time if it is known")
{
  const BackendServerName id("i-7f3a");
  CHECK(ServerIncarnation(id).ToString() == "i-7f3a");
  CHECK(ServerIncarnation(id, 17).ToString() == "i-7f3a@17");
}
