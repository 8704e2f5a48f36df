#include "porttiller/core/Ids.h"

#include "porttiller/core/Rendezvous.h"

#include <doctest/doctest.h>

using namespace porttiller;

TEST_CASE("AttemptId::Parse restores an ID from its text form")
{
  const AttemptId id(BoxName("box-a"), Incarnation(7), 42);
  CHECK(AttemptId::Parse(id.ToString()) == id);
}

TEST_CASE("AttemptId::Parse rejects malformed text")
{
  for (const char* text : { "", "/1/2", "a/1", "a/x/2", "a/1/2x", "a//2" }) {
    CHECK_FALSE(AttemptId::Parse(text).has_value());
  }
}

TEST_CASE("Removing a box changes only the owners of the keys that it owned")
{
  const std::vector<BoxName> all = { BoxName("a"), BoxName("b"), BoxName("c") };
  for (int i = 0; i < 50; ++i) {
    const auto key = std::to_string(i);
    const auto owner = RendezvousOwners(key, all, 1).at(0);
    for (const auto& removed : all) {
      if (removed == owner) {
        continue;
      }
      std::vector<BoxName> rest;
      for (const auto& box : all) {
        if (box != removed) {
          rest.push_back(box);
        }
      }
      CHECK(RendezvousOwners(key, rest, 1).at(0) == owner);
    }
  }
}
