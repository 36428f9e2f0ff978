#pragma once

#include "libfleet/http/httpserver.h"
#include "libfleet/node/platformadapter.h"
#include "libhickoryglade/announcement.h"
#include "libhickoryglade/memberrecord.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace hickoryglade::fleet {

class Control;
class Metrics;

/// The node's admin interface for endpoints and operators: announcements,
/// settings, reports, metrics. Requests arrive on the gate's thread, which
/// handles those of endpoints and passes the others to the control thread.
class AdminFront {
public:
  struct Events {
    /// Returns the endpoint's generation, or why the announcement cannot be
    /// acknowledged.
    std::function<asio::awaitable<absl::StatusOr<std::int64_t>>(Announcement)>
        OnAnnounce;
    std::function<void(std::string)> OnWithdraw;
    /// As OnWithdraw, but completes only once the endpoint is withdrawn, and
    /// holds for later announcements of the process that left. Returns why it
    /// cannot be acknowledged otherwise.
    std::function<asio::awaitable<absl::Status>(DepartedRecord)> OnDepart;
    /// Describes the endpoints of this node, with the reasons for their
    /// standing.
    std::function<nlohmann::json()> ReportGate;
    /// Parses messages in the platform's format; may be empty.
    std::function<EndpointMessage(const HttpRequest &)> ParseMessage;
  };

  AdminFront(asio::io_context &io, Control &control, Metrics &metrics,
             Events events);

  asio::awaitable<HttpResponse> serve(HttpRequest request);

  /// Serves requests for metrics only.
  asio::awaitable<HttpResponse> serveMetrics(HttpRequest request);

private:
  asio::awaitable<HttpResponse> serveOperator(HttpRequest request,
                                              nlohmann::json endpoints);
  asio::awaitable<HttpResponse> announce(const HttpRequest &request);
  asio::awaitable<HttpResponse> handleEndpointMessage(EndpointMessage message);
  asio::awaitable<HttpResponse> change(const HttpRequest &request);
  nlohmann::json status(nlohmann::json endpoints) const;
  HttpResponse withdraw(const std::string &target);
  HttpResponse settings(const std::string &target) const;

  asio::io_context &Io;
  Control &NodeControl;
  Metrics &Counters;
  Events Handlers;
};

} // namespace hickoryglade::fleet
