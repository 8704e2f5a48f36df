// One measured figure as a JSON line.
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

// The value below which aShare of the values lie; 0 for none.
double
Quantile(std::vector<double> aValues, double aShare);

double
Mean(const std::vector<double>& aValues);

} // namespace porttiller::bench
