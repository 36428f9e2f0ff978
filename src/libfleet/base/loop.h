#pragma once

#include "libfleet/base/asio.h"

#include <future>
#include <thread>

namespace hickoryglade::fleet {

/// An event loop on a thread of its own. An exception that a handler throws
/// ends only that handler.
class Loop {
public:
  asio::io_context Io{1};

  void start();
  void stop();

  /// Runs a function on the loop's thread and returns its result.
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
