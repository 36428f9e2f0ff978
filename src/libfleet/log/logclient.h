#pragma once

#include "libfleet/http/httpclient.h"
#include "libhickoryglade/instant.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickoryglade::fleet {

struct LogRecord {
  std::int64_t Offset = 0;
  std::string Data;
};

enum class LogStatus {
  Done,
  /// The log did not answer, or not in the agreed form; an append may have
  /// taken effect all the same.
  Unreachable,
  /// Asked to come back later.
  Overloaded,
  /// The records asked for are no longer kept.
  Expired,
  /// The log refused the call.
  Refused,
};

struct AppendResult {
  LogStatus Status = LogStatus::Unreachable;
  std::int64_t Offset = 0;
  Millis RetryAfter{0};
};

struct ReadResult {
  LogStatus Status = LogStatus::Unreachable;
  std::int64_t First = 0;
  std::int64_t Next = 0;
  std::vector<LogRecord> Records;
  Millis RetryAfter{0};
};

/// Speaks the log service's HTTP interface, one call at a time per instance.
class LogClient {
public:
  LogClient(asio::any_io_executor ex, std::string address, std::string stream);

  const std::string &address() const { return Caller.address(); }
  const std::string &stream() const { return Stream; }

  asio::awaitable<AppendResult> append(std::string data);

  /// Waits up to a given time for records at or after an offset.
  asio::awaitable<ReadResult> read(std::int64_t from, Millis wait);

private:
  HttpClient Caller;
  std::string Stream;
};

} // namespace hickoryglade::fleet
