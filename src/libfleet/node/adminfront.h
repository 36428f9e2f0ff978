#pragma once

#include "libfleet/http/httpfront.h"
#include "libfleet/node/platformadapter.h"
#include "libhickoryglade/announcement.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hickoryglade::fleet {

class Control;
class Metrics;

/// What endpoints and operators ask of a node: announcements, settings,
/// reports, metrics. Takes requests on the gate's thread, which owns what
/// endpoints say, and hands the rest to the control thread.
class AdminFront {
public:
  struct Events {
    /// Gives the generation under which the endpoint runs, or nothing if the
    /// node is leaving.
    std::function<asio::awaitable<std::optional<std::int64_t>>(Announcement)>
        OnAnnounce;
    std::function<void(std::string)> OnWithdraw;
    /// As OnWithdraw, and tells once it is done.
    std::function<asio::awaitable<bool>(std::string)> OnDepart;
    /// The endpoints of this node, with the reasons for their standing.
    std::function<nlohmann::json()> ReportGate;
    /// Reads messages in the platform's words; may be empty.
    std::function<EndpointMessage(const HttpRequest &)> ParseMessage;
  };

  AdminFront(asio::io_context &io, Control &control, Metrics &metrics,
             Events events);

  asio::awaitable<HttpAnswer> serve(HttpRequest request);

  /// Takes questions for metrics only.
  asio::awaitable<HttpAnswer> serveMetrics(HttpRequest request);

private:
  asio::awaitable<HttpAnswer> serveOperator(HttpRequest request,
                                            nlohmann::json endpoints);
  asio::awaitable<HttpAnswer> announce(const HttpRequest &request);
  asio::awaitable<HttpAnswer> handleEndpointMessage(EndpointMessage message);
  asio::awaitable<HttpAnswer> change(const HttpRequest &request);
  nlohmann::json status(nlohmann::json endpoints) const;
  HttpAnswer withdraw(const std::string &target);
  HttpAnswer settings(const std::string &target) const;

  asio::io_context &Io;
  Control &NodeControl;
  Metrics &Counters;
  Events Handlers;
};

} // namespace hickoryglade::fleet
