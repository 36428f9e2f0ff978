#pragma once

#include "libhickoryglade/instant.h"

#include <string>
#include <string_view>

namespace hickoryglade {

/// Whether a request may have run.
enum class RunState { NotRun, Unknown };

/// Reasons for which the fleet answers in place of an endpoint. Values are part
/// of the protocol between nodes; new ones are appended.
enum class ErrorKind {
  BadRequest,
  HeadersTooLarge,
  BodyTooLarge,
  NoRoute,
  NoSettings,
  NoEndpoint,
  Overloaded,
  DeadlineExceeded,
  EndpointFailed,
  AnswerTruncated,
  GateLost,
  GrantLapsed,
  WrongGeneration,
  Quarantined,
  KeyReused,
  KeyUnvouched,
  KeyAnswerGone,
  KeeperUnavailable,
  ShuttingDown,
  Cancelled,
  EndpointShed,
  Internal,
  SlotTaken,
  RequestTimeout,
  EndpointDoubtful,
  RetriesExhausted,
  ContentSuspect,
  EndpointLimited,
  AnswerTooLong,
  UnknownKey,
  QuotaExceeded,
  KeysUnconfirmed,
};

/// Properties of an error kind and of the answer to the caller.
struct ErrorInfo {
  ErrorKind Kind;
  std::string_view Name;
  int Status;
  RunState DefaultRun;
  bool IsRetryable;
  std::string_view Title;
};

/// A failure, as it is returned to the caller.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  RunState Run = RunState::Unknown;
  std::string Detail;
  Millis RetryAfter{0};

  bool operator==(const Error &) const = default;
};

const ErrorInfo &errorInfo(ErrorKind kind);

/// Maps a number received from another node; unknown numbers are Internal.
ErrorKind errorKindFromWire(int value);

/// Builds an error with the table's default run state.
Error makeError(ErrorKind kind, std::string detail = {},
                Millis retryAfter = Millis{0});

/// HTTP status of the answer to a caller. 408, 421, 429 and 503 guarantee that
/// the request has not run, so they are not used for an error whose request may
/// have run. If it has not run, 502 and 504 are not used.
int statusOf(const Error &error);

std::string_view toString(RunState run);

} // namespace hickoryglade
