// Home requests and answers as HTTP, and back.
#pragma once

#include "porttiller/hop/HomeTypes.h"

namespace porttiller {

// The HTTP request that carries aRequest. aHomeClockOffset, once known, is the
// home's clock less the entry's; with it the deadline travels as a point in
// time, which waiting in a buffer cannot stretch.
HttpRequestData
EncodeHomeRequest(const HomeRequest& aRequest,
                  std::optional<Millis> aHomeClockOffset,
                  TimePoint aNow);

// Null when its fields are missing or malformed. aHttp keeps the caller's
// headers.
std::optional<HomeRequest>
DecodeHomeRequest(HttpRequestData aHttp, TimePoint aNow);

// The headers that aAnswer adds to its HTTP answer.
HttpHeaders
EncodeHomeAnswer(const HomeAnswer& aAnswer,
                 const AttemptId& aAttempt,
                 Incarnation aIncarnation,
                 TimePoint aNow);

// A home's answer with what it tells of the home itself.
struct DecodedHomeAnswer
{
  HomeAnswer mAnswer;
  Incarnation mIncarnation;
  Millis mHomeClock{ 0 }; // its monotonic clock when it answered
};

// Null when it is no answer to aAttempt: another's, or not from a home.
std::optional<DecodedHomeAnswer>
DecodeHomeAnswer(HttpAnswer aHttp, const AttemptId& aAttempt);

} // namespace porttiller
