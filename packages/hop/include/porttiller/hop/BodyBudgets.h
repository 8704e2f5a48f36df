// The budgets of a process for the message bodies that it holds.
#pragma once

#include "porttiller/config/MemoryPlan.h"
#include "porttiller/http/BodyBudget.h"

#include <memory>

namespace porttiller {

// One for each kind of MemoryPlan. Null: unlimited.
struct BodyBudgets
{
  std::shared_ptr<BodyBudget> mCallerRequests;
  std::shared_ptr<BodyBudget> mPeerRequests;
  std::shared_ptr<BodyBudget> mHomeAnswers;
  std::shared_ptr<BodyBudget> mServerAnswers;

  static BodyBudgets Make(const MemoryPlan& aPlan)
  {
    return { .mCallerRequests =
               std::make_shared<BodyBudget>(aPlan.mCallerRequests),
             .mPeerRequests = std::make_shared<BodyBudget>(aPlan.mPeerRequests),
             .mHomeAnswers = std::make_shared<BodyBudget>(aPlan.mHomeAnswers),
             .mServerAnswers =
               std::make_shared<BodyBudget>(aPlan.mServerAnswers) };
  }
};

} // namespace porttiller
