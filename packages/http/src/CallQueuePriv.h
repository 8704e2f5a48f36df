// The requests of one connection that are not answered yet.
#pragma once

#include "porttiller/http/HttpListener.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace porttiller {

// A request to run now.
struct RunnableCall
{
  std::uint64_t mId = 0; // in the queue that it was taken from
  HttpCall mCall;
  bool mHasRead = false; // the peer has read an earlier answer
};

// An answer whose turn has come.
struct DueAnswer
{
  HttpAnswer mAnswer;
  bool mHeadOnly = false; // it answers a HEAD request
  bool mClose = false;    // close the connection after it
};

// Keeps the order of the answers, and decides which requests run concurrently.
// An entry is a request that waits to run, a request that runs, which can be
// cancelled, or an answer. Owned by a connection; not thread-safe.
class CallQueue
{
public:
  bool Empty() const { return mCalls.empty(); }
  std::size_t Size() const { return mCalls.size(); }

  // Appends a request. aClose: its answer is the last one of the connection.
  void Push(HttpCall aCall, bool aClose);
  // Appends an answer to input that is no request that can run; the last one
  // of the connection.
  void PushAnswer(HttpAnswer aAnswer);

  // Returns the requests to run now. Requests with safe methods run
  // concurrently. Any other request runs alone, after the ones before it have
  // been answered: one of those may close the connection, and the requests
  // after it are then discarded without being run.
  std::vector<RunnableCall> TakeRunnable(bool aHasRead);

  // Sets the answer of a request that runs. Does nothing if CancelAll has
  // removed it.
  void SetAnswer(std::uint64_t aId, HttpAnswer aAnswer);
  // Discards the requests that have not been started, with all that is behind
  // them, and closes the connection after the last answer that is left.
  void DiscardWaiting();
  // Removes the first entry if it is an answer.
  std::optional<DueAnswer> TakeAnswer();
  // Replaces each answer whose body keeps room that others wait for: the answer
  // before it may be one of these, and would never come.
  void ReplaceDelaying(const std::function<HttpAnswer()>& aAnswer);
  // Cancels the requests that run and removes all entries.
  void CancelAll();

  // Bytes of the bodies of answers that wait for an earlier one.
  std::size_t AnswerBytes() const;

private:
  struct Waiting
  {
    HttpCall mCall;
  };
  struct Running
  {
    CancelFlag mCancelled;
  };
  struct Entry
  {
    std::variant<Waiting, Running, HttpAnswer> mState;
    bool mSafe = true;
    bool mHeadOnly = false;
    bool mClose = false;
  };

  std::deque<Entry> mCalls;
  std::uint64_t mFirstId = 0; // of mCalls.front()
};

} // namespace porttiller
