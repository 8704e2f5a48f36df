// Detects links to peers that deliver nothing any more. A NAT or a firewall on
// the path may drop its state of a connection without a FIN or RST, and may
// even acknowledge data that it drops, so only missing replies reveal it. Must
// find all links that fail at one moment, and must not replace a working link
// whose replies are late because packets are lost or the peer is slow.
#pragma once

#include "porttiller/core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace porttiller {

struct LinkSilenceOptions
{
  // A link that has carried replies is silent when a request has waited for
  // mMinSilence and for mReplyTimeFactor times the last reply time. mMinSilence
  // exceeds TCP's least retransmission time-out of 200 ms, so that one lost
  // packet does not count as silence.
  Millis mMinSilence{ 350 };
  int mReplyTimeFactor = 4;
  // A link that has carried no reply may still be connecting for this long.
  Millis mFirstReplyTimeout{ 3000 };
  // Without requests silence goes undetected: a link whose last reply is older
  // than this may be silent.
  Millis mQuietAfter{ 1000 };
};

// Owned by the loop that owns the links, and used on its thread. A link is
// identified by its route, which is never reused.
class LinkSilenceDetector
{
public:
  explicit LinkSilenceDetector(LinkSilenceOptions aOptions = {});

  void OnOpened(const std::string& aRoute, TimePoint aNow);
  void OnClosed(const std::string& aRoute);
  // A request that expects a reply was sent.
  void OnRequest(const std::string& aRoute, TimePoint aNow);
  // A reply arrived, before or after its request's time-out.
  void OnReply(const std::string& aRoute, TimePoint aNow);
  // The time from a request to its reply; not called for replies after the
  // time-out.
  void OnReplyTime(const std::string& aRoute, Micros aTime);

  // The links that became silent since the last call, by route, each with the
  // time since its oldest request without a reply.
  std::map<std::string, Millis> TakeSilent(TimePoint aNow);
  // When to call TakeSilent next; null if no check is scheduled.
  std::optional<TimePoint> NextCheck() const;

  // Has carried replies, but none within mQuietAfter. A message that must
  // arrive has to ask for a reply on such a link.
  bool IsQuiet(const std::string& aRoute, TimePoint aNow) const;
  // Null before the first reply.
  std::optional<Millis> TimeSinceReply(const std::string& aRoute,
                                       TimePoint aNow) const;

private:
  struct Link
  {
    TimePoint mOpened;
    std::optional<TimePoint> mLastReply;
    std::optional<TimePoint> mOldestUnanswered; // sent since the last reply
    std::optional<Micros> mReplyTime; // of the last reply before its time-out
    std::optional<TimePoint> mNextCheck;
  };

  TimePoint SilenceDeadline(const Link& aLink) const;
  void ScheduleCheck(const std::string& aRoute, Link& aLink);

  const LinkSilenceOptions mOptions;
  std::unordered_map<std::string, Link> mLinks;  // by route
  std::multimap<TimePoint, std::string> mChecks; // routes, by check time
};

} // namespace porttiller
