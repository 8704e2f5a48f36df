// Encodes home requests and answers as HTTP messages, and decodes them.
#pragma once

#include "porttiller/hop/HomeTypes.h"

namespace porttiller {

// Returns the HTTP request that carries aRequest. aHomeClockOffset, once known,
// is the home's clock minus the entry's. With it the deadline is also sent as a
// point on the home's clock, so that time spent in buffers does not extend it.
HttpRequestData
EncodeHomeRequest(const HomeRequest& aRequest,
                  std::optional<Millis> aHomeClockOffset,
                  TimePoint aNow);

// Returns null when fields are missing or malformed. Removes the headers that
// end at this hop; the caller's headers stay.
std::optional<HomeRequest>
DecodeHomeRequest(HttpRequestData aHttp, TimePoint aNow);

// Returns the headers that carry aAnswer in its HTTP answer.
HttpHeaders
EncodeHomeAnswer(const HomeAnswer& aAnswer,
                 const AttemptId& aAttempt,
                 Incarnation aIncarnation,
                 TimePoint aNow);

// A home's answer, with the state of the home that came with it.
struct DecodedHomeAnswer
{
  HomeAnswer mAnswer;
  Incarnation mIncarnation;
  Millis mHomeClock{ 0 }; // the home's monotonic clock when it answered
};

// Returns null when aHttp answers another attempt or is not from a home.
std::optional<DecodedHomeAnswer>
DecodeHomeAnswer(HttpAnswer aHttp, const AttemptId& aAttempt, TimePoint aNow);

} // namespace porttiller
