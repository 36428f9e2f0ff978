#pragma once

#include "libfleet/base/asio.h"

#include <future>
#include <thread>

namespace hickoryglade::fleet {

/// A thread that runs one executor. An exception that a handler lets out ends
/// that handler only.
class Loop {
public:
  asio::io_context Io{1};

  void start();
  void stop();

  /// Runs a function on this thread and waits for what it returns.
  template <typename Function> auto call(Function function) {
    std::promise<decltype(function())> promise;
    asio::post(Io, [&] { promise.set_value(function()); });
    return promise.get_future().get();
  }

private:
  asio::executor_work_guard<asio::io_context::executor_type> Work =
      asio::make_work_guard(Io);
  std::thread Runner;
};

} // namespace hickoryglade::fleet
