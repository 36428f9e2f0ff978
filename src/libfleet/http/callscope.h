#pragma once

#include <functional>

namespace hickoryglade::fleet {

/// Tells a request's handler that its caller has gone.
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
