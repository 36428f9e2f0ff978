#pragma once

#include <functional>
#include <string>

namespace hickoryglade::fleet {

/// Cancellation state of a request. It is cancelled when the caller disconnects
/// before the response.
struct CallScope {
  bool IsCancelled = false;
  /// How the caller disconnected.
  std::string Reason;
  std::function<void()> OnCancel;

  void cancel(std::string reason) {
    IsCancelled = true;
    Reason = std::move(reason);
    if (OnCancel)
      OnCancel();
  }
};

} // namespace hickoryglade::fleet
