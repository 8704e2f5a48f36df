#include "porttiller/control/UnreadableObjects.h"

#include "porttiller/telemetry/Log.h"

namespace porttiller {

namespace {

constexpr std::size_t kMaxTextBytes = 200;

std::string
Shortened(const std::string& aText)
{
  return aText.substr(0, kMaxTextBytes);
}

} // namespace

void
UnreadableObjects::Note(const std::vector<UnreadableObject>& aObjects)
{
  for (const auto& object : aObjects) {
    mMetrics.CountUnreadable(object.mReason);
    auto key = object;
    key.mName = Shortened(key.mName);
    key.mDetail = Shortened(key.mDetail);
    if (!IsNew(key)) {
      continue;
    }
    LogLine(LogLevel::kWarning, "object_unreadable")
      .With("kind", key.mKind)
      .With("name", key.mName)
      .With("version", std::to_string(key.mVersion))
      .With("reason", ToText(key.mReason))
      .With("detail", key.mDetail);
  }
}

bool
UnreadableObjects::IsNew(const UnreadableObject& aObject)
{
  const std::lock_guard lock(mMutex);
  if (!mLogged.insert(aObject).second) {
    return false;
  }
  mOrder.push_back(aObject);
  if (mOrder.size() > kMaxLoggedVersions) {
    mLogged.erase(mOrder.front());
    mOrder.pop_front();
  }
  return true;
}

} // namespace porttiller
