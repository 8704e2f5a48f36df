// A benchmark result, printed as a JSON line.
#pragma once

#include <string>
#include <utility>
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

// Prints results of one scenario and policy.
class FigurePrinter
{
public:
  FigurePrinter(std::string aScenario, std::string aPolicy)
    : mScenario(std::move(aScenario))
    , mPolicy(std::move(aPolicy))
  {
  }

  void operator()(const char* aMeasure, double aValue, const char* aUnit) const
  {
    Print({ .mMeasure = aMeasure,
            .mScenario = mScenario,
            .mPolicy = mPolicy,
            .mValue = aValue,
            .mUnit = aUnit });
  }

private:
  const std::string mScenario;
  const std::string mPolicy;
};

// The aShare quantile, rounded up to a sample; 0 if there are no values.
double
Quantile(std::vector<double> aValues, double aShare);

double
Mean(const std::vector<double>& aValues);

} // namespace porttiller::bench
