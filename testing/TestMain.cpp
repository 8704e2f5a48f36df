// The main function of every test program. Skips the test cases named in the
// environment variable KNOWN_RED (doctest filters, separated by commas), which
// tools/test sets from KNOWN-RED.txt.
#define DOCTEST_CONFIG_IMPLEMENT
#include <cstdlib>
#include <doctest/doctest.h>

int
main(int aCount, char** aArguments)
{
  doctest::Context context(aCount, aArguments);
  const char* knownRed = std::getenv("KNOWN_RED");
  if (knownRed != nullptr && *knownRed != '\0') {
    context.addFilter("test-case-exclude", knownRed);
  }
  return context.run();
}
