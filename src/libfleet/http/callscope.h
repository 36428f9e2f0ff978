#pragma once

#include <functional>

namespace hickoryglade::fleet {

/// Cancellation state of a request. It is cancelled when the caller disconnects
/// before the response.
struct CallScope {
  bool IsCancelled = false;
  std::function<void()> OnCancel;

  void cancel() {
    IsCancelled = true;
    if (OnCancel)
      OnCancel();
  }
};

} // namespace hickoryglade::fleet
