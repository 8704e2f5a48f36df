// Porttiller's own object API; see docs/API.md.
#pragma once

#include "porttiller/config/StoreMessages.h"
#include "porttiller/core/Time.h"

namespace porttiller {

// Stateless. Builds requests and decodes their answers.
struct NativeDialect
{
  static StoreCall Get(const ObjectKey& aKey);
  static StoreCall List(const std::string& aKind, const std::string& aAfter);
  static StoreCall Watch(const std::string& aKind,
                         std::uint64_t aFrom,
                         Millis aWait);
  static StoreCall ListConfiguration();
  static StoreCall WatchConfiguration(std::uint64_t aFrom, Millis aWait);
  static StoreCall Create(const ObjectKey& aKey, const std::string& aSpec);
  static StoreCall Update(const ObjectKey& aKey,
                          std::uint64_t aVersion,
                          const std::string& aSpec);
  static StoreCall Delete(const ObjectKey& aKey, std::uint64_t aVersion);

  static Decoded<Object> ReadObject(const std::string& aKind,
                                    const std::string& aBody);
  static Decoded<ObjectPage> ReadPage(const std::string& aKind,
                                      const std::string& aBody);
  static Decoded<ObjectDelta> ReadChanges(const std::string& aKind,
                                          std::uint64_t aFrom,
                                          const std::string& aBody);
  static Decoded<ObjectDelta> ReadConfiguration(const std::string& aBody);
  static Decoded<ObjectDelta> ReadConfigurationChanges(
    std::uint64_t aFrom,
    const std::string& aBody);
  static Decoded<std::uint64_t> ReadWritten(const std::string& aBody);
};

} // namespace porttiller
