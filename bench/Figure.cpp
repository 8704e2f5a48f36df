#include "Figure.h"

#include <Poco/JSON/Object.h>
#include <algorithm>
#include <cmath>
#include <iostream>
#include <numeric>

namespace porttiller::bench {

namespace {

constexpr double kDecimals = 1000.0;

} // namespace

void
Print(const Figure& aFigure)
{
  Poco::JSON::Object line(Poco::JSON_PRESERVE_KEY_ORDER);
  line.set("measure", aFigure.mMeasure);
  line.set("scenario", aFigure.mScenario);
  line.set("policy", aFigure.mPolicy);
  line.set("value", std::round(aFigure.mValue * kDecimals) / kDecimals);
  line.set("unit", aFigure.mUnit);
  line.stringify(std::cout);
  std::cout << std::endl;
}

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const auto last = static_cast<double>(aValues.size() - 1);
  const auto index = static_cast<std::ptrdiff_t>(std::ceil(last * aShare));
  std::nth_element(aValues.begin(), aValues.begin() + index, aValues.end());
  return aValues[static_cast<std::size_t>(index)];
}

double
Mean(const std::vector<double>& aValues)
{
  if (aValues.empty()) {
    return 0.0;
  }
  return std::accumulate(aValues.begin(), aValues.end(), 0.0) /
         static_cast<double>(aValues.size());
}

} // namespace porttiller::bench
