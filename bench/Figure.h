// A benchmark result, printed as a JSON line.
#pragma once

#include <string>
#include <vector>

namespace porttiller::bench {

struct Figure
{
  std::string mMeasure;
  std::string mScenario;
  std::string mPolicy;
  double mValue = 0.0;
  std::string mUnit;
};

// {"measure":...,"scenario":...,"policy":...,"value":...,"unit":...}
void
Print(const Figure& aFigure);

// The aShare quantile, rounded up to a sample; 0 if there are no values.
double
Quantile(std::vector<double> aValues, double aShare);

double
Mean(const std::vector<double>& aValues);

} // namespace porttiller::bench
