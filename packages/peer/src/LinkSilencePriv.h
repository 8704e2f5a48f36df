// Which links to peers have gone silent. A device on the path may forget a
// connection without an end or a reset, and may even acknowledge what it drops:
// only the lack of replies tells. Answers two loads: all links that go silent
// at one moment; and links that lose packets, or peers that are slow, whose
// replies come late over a link that works.
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
  // A link that answered before is silent after this long without a reply and
  // after several times what its last reply took. More than TCP's least
  // retransmission time-out of 200 ms, so that a lost packet is not taken for
  // silence.
  Millis mPatience{ 350 };
  int mUsualReplies = 4;
  // A link that never answered may still be on its way for this long.
  Millis mUnheardTime{ 3000 };
  // A link that has carried no reply for this long may have gone silent
  // unnoticed.
  Millis mQuietTime{ 1000 };
};

// Owned by the loop whose links it judges. A link is named by a route that is
// never used again.
class LinkSilence
{
public:
  explicit LinkSilence(LinkSilenceOptions aOptions = {});

  void OnMade(const std::string& aRoute, TimePoint aNow);
  void OnClosed(const std::string& aRoute);
  // A request that waits for a reply is sent.
  void OnRequest(const std::string& aRoute, TimePoint aNow);
  // A reply comes, in time or late.
  void OnHeard(const std::string& aRoute, TimePoint aNow);
  // What a reply in time took.
  void OnReplyTime(const std::string& aRoute, Micros aTime);

  // The links that have gone silent since the last call, each with the time
  // since its oldest request without a reply.
  std::map<std::string, Millis> TakeSilent(TimePoint aNow);
  // When to call TakeSilent next.
  std::optional<TimePoint> NextLook() const;

  // Carried replies, but none of late: whatever must arrive has to ask for one.
  bool IsQuiet(const std::string& aRoute, TimePoint aNow) const;
  // Since the last reply; null before the first one.
  std::optional<Millis> SinceHeard(const std::string& aRoute,
                                   TimePoint aNow) const;

private:
  struct Link
  {
    TimePoint mMade;
    std::optional<TimePoint> mHeard;
    std::optional<TimePoint> mWaitsSince; // the first request since then
    std::optional<Micros> mReplyTime;     // of the last reply in time
    std::optional<TimePoint> mLookAt;     // the next one planned
  };

  TimePoint SilentAt(const Link& aLink) const;
  void PlanLook(const std::string& aRoute, Link& aLink);

  const LinkSilenceOptions mOptions;
  std::unordered_map<std::string, Link> mLinks; // by route
  std::multimap<TimePoint, std::string> mLooks; // at links
};

} // namespace porttiller
