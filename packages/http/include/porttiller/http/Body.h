// The body of a message: held once, and shared by all that send or keep it.
#pragma once

#include "porttiller/http/BodyBudget.h"

#include <cstddef>
#include <cstdlib>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>

namespace porttiller {

// Immutable; a copy shares the bytes. They count towards the budget of the
// connection that read them until the last copy is destroyed.
class Body
{
public:
  Body() = default;
  // Bytes that count towards no budget.
  Body(std::string_view aBytes);
  Body(const std::string& aBytes)
    : Body(std::string_view(aBytes))
  {
  }
  Body(const char* aBytes)
    : Body(std::string_view(aBytes))
  {
  }

  std::string_view View() const;
  std::string ToString() const { return std::string(View()); }
  std::size_t Size() const { return View().size(); }
  bool Empty() const { return View().empty(); }
  // Ends the reservation early; something else counts the bytes from now on.
  // Called by one holder at a time.
  void ReleaseReservation() const;
  // Whether bodies wait for room of the budget that this one has room of.
  bool DelaysOthers() const;

  friend bool operator==(const Body& aLeft, const Body& aRight)
  {
    return aLeft.View() == aRight.View();
  }
  friend std::ostream& operator<<(std::ostream& aOut, const Body& aBody)
  {
    return aOut << aBody.View();
  }

private:
  friend class BodyBuffer;
  struct Content;

  explicit Body(std::shared_ptr<Content> aContent);

  std::shared_ptr<Content> mContent; // null: empty
};

// Collects a body. Grows in place where the system can remap its pages, so that
// a body without a length is not copied either. Not thread-safe.
class BodyBuffer
{
public:
  BodyBuffer() = default; // without a budget
  explicit BodyBuffer(std::shared_ptr<BodyBudget> aBudget);

  BodyReservation& Reservation() { return mReservation; }
  const BodyReservation& Reservation() const { return mReservation; }
  std::size_t Size() const { return mSize; }
  // Reserves more if these bytes were not reserved before; false if there is no
  // room for that.
  bool Append(std::string_view aBytes);
  Body Take();

private:
  struct Free
  {
    void operator()(char* aBytes) const { std::free(aBytes); }
  };

  friend class Body;

  BodyReservation mReservation;
  std::unique_ptr<char, Free> mBytes; // realloc needs malloc's memory
  std::size_t mSize = 0;
  std::size_t mCapacity = 0;
};

} // namespace porttiller
