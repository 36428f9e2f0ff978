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
  /// The log sent no reply or a malformed one. An append may still have taken
  /// effect.
  Unreachable,
  /// The log limits the rate of calls; retry after RetryAfter.
  Overloaded,
  /// The requested records have expired.
  Expired,
  /// The log rejected the call.
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

/// Client of the log service's HTTP interface. Each instance makes one call at
/// a time.
class LogClient {
public:
  LogClient(asio::any_io_executor ex, std::string address, std::string stream);

  const std::string &address() const { return Caller.address(); }
  const std::string &stream() const { return Stream; }

  asio::awaitable<AppendResult> append(std::string data);

  /// Reads the records at or after an offset; waits up to the given time for
  /// the first one.
  asio::awaitable<ReadResult> read(std::int64_t from, Millis wait);

private:
  HttpClient Caller;
  std::string Stream;
};

} // namespace hickoryglade::fleet
