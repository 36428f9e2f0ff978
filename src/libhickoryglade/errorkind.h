#pragma once

#include "libhickoryglade/instant.h"

#include <string>
#include <string_view>

namespace hickoryglade {

/// Whether the work of a request may have had an effect.
enum class RunState { NotRun, Unknown };

/// The closed list of reasons for which the fleet answers in place of an
/// endpoint. Values are part of the protocol between nodes: append only.
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
};

/// Row of the table from error kind to answer.
struct ErrorInfo {
  ErrorKind Kind;
  std::string_view Name;
  int Status;
  RunState DefaultRun;
  bool IsRetryable;
  std::string_view Title;
};

/// A failure on its way to the caller.
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

/// Status of the answer to a caller. 408, 421, 429 and 503 promise that the
/// request has not run, so an error that may have run never gets them, and one
/// that has not run never gets 502 or 504.
int statusOf(const Error &error);

std::string_view toString(RunState run);

} // namespace hickoryglade
