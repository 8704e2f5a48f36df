#include "CallQueuePriv.h"

#include <algorithm>
#include <utility>

namespace porttiller {

void
CallQueue::Push(HttpCall aCall, bool aClose)
{
  const auto& method = aCall.mHttp.mMethod;
  Entry entry{ .mSafe = IsSafeMethod(method),
               .mHeadOnly = method == "HEAD",
               .mClose = aClose };
  entry.mState = Waiting{ std::move(aCall) };
  mCalls.push_back(std::move(entry));
}

void
CallQueue::PushAnswer(HttpAnswer aAnswer)
{
  mCalls.push_back({ .mState = std::move(aAnswer), .mClose = true });
}

std::vector<RunnableCall>
CallQueue::TakeRunnable(bool aHasRead)
{
  std::vector<RunnableCall> runnable;
  for (std::size_t i = 0; i < mCalls.size(); ++i) {
    auto& entry = mCalls[i];
    if (std::holds_alternative<HttpAnswer>(entry.mState)) {
      continue;
    }
    const bool alone = !entry.mSafe;
    if (auto* waiting = std::get_if<Waiting>(&entry.mState)) {
      if (alone && i > 0) {
        break;
      }
      auto call = std::move(waiting->mCall);
      entry.mState = Running{ call.mCancelled };
      runnable.push_back({ .mId = mFirstId + i,
                           .mCall = std::move(call),
                           .mHasRead = aHasRead });
    }
    if (alone) {
      break;
    }
  }
  return runnable;
}

void
CallQueue::SetAnswer(std::uint64_t aId, HttpAnswer aAnswer)
{
  if (aId >= mFirstId && aId < mFirstId + mCalls.size()) {
    mCalls[aId - mFirstId].mState = std::move(aAnswer);
  }
}

void
CallQueue::DiscardWaiting()
{
  const auto first =
    std::find_if(mCalls.begin(), mCalls.end(), [](const Entry& aEntry) {
      return std::holds_alternative<Waiting>(aEntry.mState);
    });
  mCalls.erase(first, mCalls.end());
  if (!mCalls.empty()) {
    mCalls.back().mClose = true;
  }
}

std::optional<DueAnswer>
CallQueue::TakeAnswer()
{
  if (mCalls.empty() ||
      !std::holds_alternative<HttpAnswer>(mCalls.front().mState)) {
    return std::nullopt;
  }
  auto& entry = mCalls.front();
  DueAnswer due{ .mAnswer = std::get<HttpAnswer>(std::move(entry.mState)),
                 .mHeadOnly = entry.mHeadOnly,
                 .mClose = entry.mClose };
  mCalls.pop_front();
  ++mFirstId;
  return due;
}

void
CallQueue::ReplaceDelaying(const std::function<HttpAnswer()>& aAnswer)
{
  for (auto& entry : mCalls) {
    auto* answer = std::get_if<HttpAnswer>(&entry.mState);
    if (answer != nullptr && answer->mBody.DelaysOthers()) {
      *answer = aAnswer();
    }
  }
}

void
CallQueue::CancelAll()
{
  for (const auto& entry : mCalls) {
    if (const auto* running = std::get_if<Running>(&entry.mState)) {
      running->mCancelled->Cancel();
    }
  }
  mFirstId += mCalls.size();
  mCalls.clear();
}

std::size_t
CallQueue::AnswerBytes() const
{
  std::size_t bytes = 0;
  for (const auto& entry : mCalls) {
    if (const auto* answer = std::get_if<HttpAnswer>(&entry.mState)) {
      bytes += answer->mBody.Size();
    }
  }
  return bytes;
}

} // namespace porttiller
