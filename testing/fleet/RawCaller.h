// Callers that read what comes back byte by byte, whether it is HTTP or not.
#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <string>

namespace porttiller::fleet {

// Everything up to the end of the connection, or until its receive time-out.
inline std::string
ReadToEnd(Poco::Net::StreamSocket& aSocket)
{
  std::string text;
  std::array<char, 16384> buffer{};
  try {
    int size = 0;
    while ((size = aSocket.receiveBytes(buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
  } catch (const Poco::Exception&) {
    return text;
  }
  return text;
}

} // namespace porttiller::fleet
