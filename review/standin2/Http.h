// HTTP/1.1 over plain sockets, for the stand-ins of this review. Independent of
// the project's own HTTP code.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

// The first value of a header, or "".
std::string
HeaderOf(const Headers& aHeaders, const std::string& aName);

struct Request
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  Headers mHeaders;
  std::string mBody;
};

struct Response
{
  int mStatus = 0; // 0: the connection ended, or the time was over, before it
  Headers mHeaders;
  std::string mBody;
  bool mTimedOut = false; // no whole answer in the time given
  Millis mTook{ 0 };
};

// One connection, as a client or as a server. Closed by its destructor.
class Connection
{
public:
  explicit Connection(int aSocket = -1);
  ~Connection();
  Connection(Connection&& aOther) noexcept;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection& operator=(Connection&&) = delete;

  // Not open if nothing accepts at aAddress ("ip:port") within aTime.
  static Connection To(const std::string& aAddress, Millis aTime);

  bool IsOpen() const { return mSocket >= 0; }
  bool Write(const std::string& aBytes, Clock::time_point aUntil);
  bool WriteRequest(const Request& aRequest, Clock::time_point aUntil);
  Response ReadResponse(Clock::time_point aUntil);
  // False at the end of the connection.
  bool ReadRequest(Request& aRequest);
  // Whether the peer has closed the connection.
  bool PeerClosed() const;
  void Close();

private:
  bool ReadMore(Clock::time_point aUntil);
  bool ReadHead(std::string& aFirstLine,
                Headers& aHeaders,
                Clock::time_point aUntil);
  bool ReadBody(const Headers& aHeaders,
                std::string& aBody,
                Clock::time_point aUntil);

  int mSocket;
  std::string mIn;
};

// Sends one request on a connection of its own.
Response
Send(const std::string& aAddress, const Request& aRequest, Millis aTime);

// Returns false to close the connection.
using ServeRequest = std::function<bool(const Request&, Connection&)>;

// Listens and serves each connection on a thread of its own.
class Listener
{
public:
  // Throws std::runtime_error if aAddress cannot be bound.
  Listener(const std::string& aAddress, ServeRequest aServe);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

private:
  void Accept();

  ServeRequest mServe;
  int mSocket = -1;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

std::string
ToText(int aStatus, const Headers& aHeaders, const std::string& aBody);

} // namespace review
