#include "libfleet/node/node.h"

#include "libfleet/base/clock.h"
#include "libfleet/base/loop.h"
#include "libfleet/entry/entry.h"
#include "libfleet/gate/gateservice.h"
#include "libfleet/http/httpserver.h"
#include "libfleet/keys/keyservice.h"
#include "libfleet/node/adminfront.h"
#include "libfleet/node/control.h"
#include "libfleet/node/departurelog.h"
#include "libfleet/node/platformadapter.h"
#include "libfleet/peers/linkserver.h"
#include "libfleet/peers/localchannel.h"
#include "libfleet/peers/revokerelay.h"
#include "libfleet/peers/wireconvert.h"
#include "libfleet/quota/quotaservice.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/reporting/metrics.h"
#include "libhickoryglade/registry.h"

#include <nlohmann/json.hpp>

#include <absl/status/statusor.h>
#include <boost/asio/use_future.hpp>

#include <atomic>
#include <future>
#include <thread>

namespace hickoryglade::fleet {

namespace {

constexpr Millis HandOnTimeout = std::chrono::seconds(2);
constexpr Millis StopPoll = std::chrono::milliseconds(20);

/// How long after the linger the first request may come on a connection that
/// was accepted as the linger ended.
constexpr Micros FirstRequestTime = std::chrono::milliseconds(200);

/// Least time that the other nodes have to close their links to this one.
constexpr Micros LeastLinkCloseTime = std::chrono::milliseconds(100);

/// An endpoint waits for an acknowledgement for a second.
constexpr Micros RecordLimit = std::chrono::milliseconds(800);

/// How long an announcement waits at the start of a node for what earlier
/// processes have recorded.
constexpr Micros RestoreLimit = std::chrono::milliseconds(500);

/// Time in which the entries are told of the runs that the gate has aborted,
/// before the process exits.
constexpr Micros LastWordTime = std::chrono::milliseconds(100);

HttpResponse rejectedRequestAnswer(int status) {
  ErrorKind kind = status == 431   ? ErrorKind::HeadersTooLarge
                   : status == 413 ? ErrorKind::BodyTooLarge
                   : status == 408 ? ErrorKind::RequestTimeout
                   : status == 503 ? ErrorKind::Overloaded
                                   : ErrorKind::BadRequest;
  const ErrorInfo &row = errorInfo(kind);
  HttpResponse answer;
  answer.Status = row.Status;
  answer.Headers.push_back({"Content-Type", "application/problem+json"});
  answer.Content = std::make_shared<const std::string>(nlohmann::json{
      {"type", "about:blank"},
      {"title", row.Title},
      {"status", row.Status},
      {"kind", row.Name},
      {"run", toString(row.DefaultRun)}}.dump());
  return answer;
}

/// Blocks the calling thread, which runs no executor.
void pauseFor(Millis time) {
  asio::io_context io;
  asio::steady_timer timer(io, time);
  timer.wait();
}

} // namespace

struct Node::Impl {
  explicit Impl(NodeSettings settings);

  absl::Status start();
  void startMetrics();
  bool stop();
  bool reload(const NodeSettings &settings);
  void applyView(const FleetViewPtr &view);
  HttpResponse readiness() const;
  asio::awaitable<absl::Status> depart(DepartedRecord departed);
  asio::awaitable<absl::Status> recordDeparture(DepartedRecord departed);
  void connectLocal(Entry &entry, Loop &loop);
  void shareNotice(std::size_t from, const std::string &service,
                   const HeardNotice &notice);
  void takeFrame(const std::shared_ptr<FrameChannel> &from, wire::Frame frame);
  asio::awaitable<absl::StatusOr<std::int64_t>>
  announce(Announcement announcement);
  void vouch(const std::shared_ptr<FrameChannel> &from,
             const wire::Frame &frame);
  void sendSettings(const std::shared_ptr<FrameChannel> &from,
                    const wire::Frame &frame);
  void applyEjections(std::map<std::string, Instant> ends);
  void handOnKeys();
  void finishLinks(Instant end);
  bool isIdle();

  NodeSettings Config;
  std::int64_t BootId = wallMicros();
  Metrics Counters;
  BodyBudgetPtr Bodies;
  Loop ControlLoop;
  std::vector<std::unique_ptr<Loop>> Traffic;
  std::unique_ptr<Control> NodeControl;
  std::unique_ptr<GateService> Gate;
  /// Not set without a platform.
  std::unique_ptr<DepartureLog> Departures;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::unique_ptr<KeyService> Keys;
  std::unique_ptr<QuotaService> Quotas;
  std::unique_ptr<RevokeRelay> Relay;
  std::map<std::string, Instant> Ejected;
  std::unique_ptr<LinkServer> Server;
  std::unique_ptr<HttpServer> CallerHttp;
  std::unique_ptr<AdminFront> Admin;
  std::unique_ptr<HttpServer> AdminHttp;
  std::unique_ptr<HttpServer> ReadyHttp;
  std::unique_ptr<HttpServer> MetricsHttp;
  const PlatformAdapter *Platform = nullptr;
  HttpDialect Dialect = defaultDialect();
  std::atomic<bool> IsReady = false;
  std::atomic<bool> IsLeaving = false;
};

Node::Impl::Impl(NodeSettings settings)
    : Config(std::move(settings)),
      Bodies(std::make_shared<BodyBudget>(Config.BodyBytes)) {
  for (int i = 0; i < Config.TrafficThreads; ++i)
    Traffic.push_back(std::make_unique<Loop>());
  if (!Config.Platform.empty()) {
    Platform = Registry<PlatformAdapter>::instance().find(Config.Platform);
    Config = Platform->AdaptSettings(std::move(Config));
    Dialect = Platform->Dialect();
  }
  asio::io_context &control = ControlLoop.Io;
  asio::any_io_executor gateThread = Traffic[0]->Io.get_executor();

  NodeControl = std::make_unique<Control>(
      control, Config, BootId, Bodies, Counters,
      Control::Events{
          [this](FleetViewPtr view) { applyView(view); },
          [this] {
            IsReady = true;
            if (!Config.AcceptsBeforeReady)
              asio::post(Traffic[0]->Io, [this] { CallerHttp->start(); });
            logEvent(LogLevel::Info, "ready", nlohmann::json::object());
          },
          [this](std::map<std::string, Instant> ends) {
            applyEjections(std::move(ends));
          },
          [this](std::vector<DepartedRecord> departed) {
            asio::post(Traffic[0]->Io, [this, it = std::move(departed)] {
              Gate->noteDeparted(it);
            });
          },
          [this](std::int64_t incarnation) {
            asio::post(Traffic[0]->Io, [this, incarnation] {
              if (Departures)
                Departures->noteIncarnation(incarnation);
            });
          }});

  if (Platform)
    NodeControl->usePlatform(*Platform);

  GateService::Events gateEvents;
  gateEvents.OnEndpoints = [this](std::vector<EndpointRecord> endpoints,
                                  std::vector<DepartedRecord> departed) {
    asio::post(ControlLoop.Io, [this, it = std::move(endpoints),
                                gone = std::move(departed)]() mutable {
      NodeControl->setEndpoints(std::move(it), std::move(gone));
    });
  };
  gateEvents.OnEjection = [this](EjectionAction action) {
    asio::post(ControlLoop.Io, [this, it = std::move(action)] {
      NodeControl->updateEjectionLease(it);
    });
  };
  gateEvents.OnCrash = [this](std::uint64_t fingerprint, CrashRecord record) {
    asio::post(ControlLoop.Io, [this, fingerprint, record] {
      NodeControl->noteCrash(fingerprint, record);
    });
  };
  Gate = std::make_unique<GateService>(gateThread, Config, BootId, Dialect,
                                       Bodies, Counters, std::move(gateEvents));
  if (Platform)
    Departures = std::make_unique<DepartureLog>(
        gateThread, Config.Node,
        Platform->MakeDepartureStore(gateThread, Config.PlatformAddress),
        Counters, [this](std::vector<DepartedRecord> departed) {
          Gate->noteDeparted(departed);
          Gate->endConfirmation();
        });

  std::vector<HttpServer::Worker> lanes;
  for (std::size_t i = 0; i < Traffic.size(); ++i) {
    Entries.push_back(std::make_unique<Entry>(Traffic[i]->Io.get_executor(),
                                              Config, BootId, i, Dialect,
                                              Bodies, Counters));
    connectLocal(*Entries.back(), *Traffic[i]);
    if (Traffic.size() > 1)
      Entries.back()->OnNotice = [this, i](const std::string &service,
                                           const HeardNotice &notice) {
        shareNotice(i, service, notice);
      };
    lanes.push_back(
        {Traffic[i]->Io.get_executor(),
         [entry = Entries.back().get()](HttpRequest request,
                                        std::shared_ptr<CallScope> scope) {
           return entry->serve(std::move(request), std::move(scope));
         }});
  }
  Keys = std::make_unique<KeyService>(
      gateThread, LeaseHolder{Config.Node, BootId}, Entries[0]->links());
  Quotas = std::make_unique<QuotaService>(gateThread, Config.Node,
                                          Entries[0]->links());
  Relay = std::make_unique<RevokeRelay>(gateThread, Entries[0]->links());
  Server = std::make_unique<LinkServer>(
      gateThread, Config.FleetAddress,
      makeHello(Config.Node, BootId, Config.DataCentre), Counters.traffic(),
      [this](const std::shared_ptr<FrameChannel> &from, wire::Frame frame) {
        takeFrame(from, std::move(frame));
      },
      [this](const std::shared_ptr<FrameChannel> &from) {
        Gate->noteLinkLost(from);
      });
  CallerHttp = std::make_unique<HttpServer>(gateThread, Config.HttpAddress,
                                            std::move(lanes),
                                            rejectedRequestAnswer, Bodies);
  AdminFront::Events adminEvents;
  adminEvents.OnAnnounce = [this](Announcement announcement) {
    return announce(std::move(announcement));
  };
  adminEvents.OnWithdraw = [this](std::string name) {
    Gate->withdrawEndpoint(name);
  };
  adminEvents.OnDepart = [this](DepartedRecord departed) {
    return depart(std::move(departed));
  };
  adminEvents.ReportGate = [this] { return Gate->report(); };
  if (Platform)
    adminEvents.ParseMessage = Platform->ParseEndpointMessage;
  Admin = std::make_unique<AdminFront>(control, *NodeControl, Counters,
                                       std::move(adminEvents));
  std::vector<HttpServer::Worker> adminLanes{
      {gateThread,
       [this](HttpRequest request, std::shared_ptr<CallScope>) {
         return Admin->serve(std::move(request));
       },
       false}};
  AdminHttp = std::make_unique<HttpServer>(gateThread, Config.AdminAddress,
                                           std::move(adminLanes),
                                           rejectedRequestAnswer, Bodies);
  if (!Config.MetricsAddress.empty())
    MetricsHttp = std::make_unique<HttpServer>(
        gateThread, Config.MetricsAddress,
        std::vector<HttpServer::Worker>{
            {gateThread,
             [this](HttpRequest request, std::shared_ptr<CallScope>) {
               return Admin->serveMetrics(std::move(request));
             },
             false}},
        rejectedRequestAnswer, Bodies);
  if (Config.ReadyAddress.empty())
    return;
  std::vector<HttpServer::Worker> readyLanes{
      {gateThread,
       [this](HttpRequest, std::shared_ptr<CallScope>)
           -> asio::awaitable<HttpResponse> { co_return readiness(); },
       false}};
  ReadyHttp = std::make_unique<HttpServer>(gateThread, Config.ReadyAddress,
                                           std::move(readyLanes),
                                           rejectedRequestAnswer, Bodies);
}

HttpResponse Node::Impl::readiness() const {
  constexpr int ok = 200;
  constexpr int unavailable = 503;
  HttpResponse answer;
  answer.Status = IsReady && !IsLeaving ? ok : unavailable;
  return answer;
}

/// Returns once no more requests are sent to an endpoint that has left, also by
/// later processes of this node. Called on the gate's thread, like announce().
asio::awaitable<absl::Status> Node::Impl::depart(DepartedRecord departed) {
  Gate->departEndpoint(departed);
  co_return co_await recordDeparture(std::move(departed));
}

asio::awaitable<absl::Status>
Node::Impl::recordDeparture(DepartedRecord departed) {
  if (!Departures)
    co_return absl::OkStatus();
  Instant until = now() + RecordLimit;
  bool isRecorded = co_await Departures->record(std::move(departed), until);
  co_return isRecorded
      ? absl::OkStatus()
      : absl::UnavailableError("the store has not confirmed the departure");
}

/// Connects an entry to the gate of its own node by in-process channels instead
/// of a link.
void Node::Impl::connectLocal(Entry &entry, Loop &loop) {
  auto holder = std::make_shared<std::shared_ptr<GateClient>>();
  auto toEntry = std::make_shared<LocalChannel>(
      loop.Io.get_executor(), Config.Node,
      LocalChannel::Receiver{[holder](wire::Frame frame) {
                               (*holder)->takeFrame(std::move(frame));
                             },
                             [holder](std::int64_t stream, Body body) {
                               (*holder)->takeBody(stream, std::move(body));
                             }});
  auto toGate = std::make_shared<LocalChannel>(
      Traffic[0]->Io.get_executor(), Config.Node,
      LocalChannel::Receiver{[this, toEntry](wire::Frame frame) {
                               takeFrame(toEntry, std::move(frame));
                             },
                             [this, toEntry](std::int64_t stream, Body body) {
                               Gate->takeBody(toEntry, stream, std::move(body));
                             }});
  *holder = std::make_shared<GateClient>(toGate, Bodies);
  entry.links().setLocal(Config.Node, *holder);
}

/// Passes a notice to the entries on the other threads.
void Node::Impl::shareNotice(std::size_t from, const std::string &service,
                             const HeardNotice &notice) {
  for (std::size_t i = 0; i < Entries.size(); ++i)
    if (i != from)
      asio::post(Traffic[i]->Io, [this, i, service, notice] {
        Entries[i]->takeNotice(service, notice);
      });
}

void Node::Impl::takeFrame(const std::shared_ptr<FrameChannel> &from,
                           wire::Frame frame) {
  bool isVouch = frame.__isset.keyRequest &&
                 frame.keyRequest.operation == wire::KeyOperation::VOUCH;
  if (isVouch)
    return vouch(from, frame);
  if (frame.__isset.keyRequest)
    return Keys->takeFrame(from, frame);
  if (frame.__isset.quotaRequest)
    return Quotas->takeFrame(from, frame);
  if (frame.__isset.revoke && !frame.revoke.askedNode.empty())
    return Relay->forward(from, frame);
  if (frame.__isset.cancel)
    from->dropBody(frame.stream);
  if (!frame.__isset.snapshotRequest)
    return Gate->takeFrame(from, std::move(frame));
  sendSettings(from, frame);
}

void Node::Impl::sendSettings(const std::shared_ptr<FrameChannel> &from,
                              const wire::Frame &frame) {
  asio::post(ControlLoop.Io, [this, from, node = from->peerName(),
                              stream = frame.stream,
                              request = frame.snapshotRequest] {
    wire::Frame reply;
    reply.stream = stream;
    Body content;
    if (request.__isset.digest) {
      SettingsSender::Reply settings =
          NodeControl->replyToRequest(request.digest, node);
      reply.__set_snapshotHead(settings.Head);
      content = std::move(settings.Content);
    } else {
      reply.__set_snapshot(NodeControl->snapshot());
    }
    asio::post(Traffic[0]->Io, [from, stream, it = std::move(reply),
                                body = std::move(content)]() mutable {
      from->send(std::move(it));
      if (body)
        from->sendBody(stream, std::move(body), BodyKind::Settings);
    });
  });
}

void Node::Impl::vouch(const std::shared_ptr<FrameChannel> &from,
                       const wire::Frame &frame) {
  LeaseHolder keeper{frame.keyRequest.record.requestId,
                     frame.keyRequest.record.fingerprint};
  asio::post(ControlLoop.Io, [this, from, keeper, stream = frame.stream] {
    bool isPromised = NodeControl->vouch(keeper);
    wire::Frame reply;
    reply.stream = stream;
    reply.keyReply.verdict =
        int(isPromised ? KeyVerdict::Granted : KeyVerdict::NotKeeper);
    reply.__isset.keyReply = true;
    asio::post(Traffic[0]->Io, [from, it = std::move(reply)]() mutable {
      from->send(std::move(it));
    });
  });
}

/// Passes the end of each ejection lease to the gate, and no end for those that
/// are no longer held.
void Node::Impl::applyEjections(std::map<std::string, Instant> ends) {
  asio::post(Traffic[0]->Io, [this, it = std::move(ends)] {
    for (const auto &[endpoint, end] : it)
      Gate->applyEjection(endpoint, end);
    for (const auto &[endpoint, end] : Ejected)
      if (!it.contains(endpoint))
        Gate->applyEjection(endpoint, std::nullopt);
    Ejected = it;
  });
}

asio::awaitable<absl::StatusOr<std::int64_t>>
Node::Impl::announce(Announcement announcement) {
  if (IsLeaving && !announcement.IsDraining)
    co_return absl::UnavailableError("the node is leaving");
  if (Departures && !announcement.IsDraining)
    co_await Departures->awaitRestored(now() + RestoreLimit);
  std::int64_t generation = Gate->announceEndpoint(announcement);
  if (announcement.IsDraining) {
    DepartedRecord departed{announcement.Name, announcement.StartedAtMs};
    absl::Status status = co_await recordDeparture(std::move(departed));
    if (!status.ok())
      co_return status;
  }
  co_return generation;
}

void Node::Impl::applyView(const FleetViewPtr &view) {
  HttpLimits &limits = CallerHttp->limits();
  limits.HeaderBytes = std::uint32_t(view->Root.MaxHeaderBytes);
  limits.BodyBytes = std::uint64_t(view->Root.MaxBodyBytes);
  limits.HeaderTimeoutMs = view->Root.HeaderTimeout.count();
  limits.IdleTimeoutMs = view->Root.IdleTimeout.count();
  asio::post(Traffic[0]->Io, [this, view] {
    Gate->applyView(view);
    Keys->applyView(view);
    Quotas->applyView(view);
    Relay->applyView(view);
  });
  for (std::size_t i = 0; i < Entries.size(); ++i)
    asio::post(Traffic[i]->Io,
               [this, i, view] { Entries[i]->applyView(view); });
}

absl::Status Node::Impl::start() {
  absl::Status status = Server->start();
  if (status.ok())
    status = CallerHttp->listen();
  if (status.ok())
    status = AdminHttp->listen();
  if (status.ok() && ReadyHttp)
    status = ReadyHttp->listen();
  if (status.ok())
    status = NodeControl->start();
  if (!status.ok())
    return status;
  AdminHttp->start();
  startMetrics();
  if (Config.AcceptsBeforeReady)
    CallerHttp->start();
  if (ReadyHttp)
    ReadyHttp->start();
  Gate->start();
  if (Departures) {
    Gate->beginConfirmation();
    Departures->start();
  }
  if (!Platform)
    Keys->start();
  for (auto &loop : Traffic)
    loop->start();
  ControlLoop.start();
  logEvent(LogLevel::Info, "started",
           {{"boot_id", BootId},
            {"http", Config.HttpAddress},
            {"fleet", Config.FleetAddress},
            {"admin", Config.AdminAddress}});
  return absl::OkStatus();
}

/// Starts the metrics listener. A failure is only logged: the node serves
/// requests without it.
void Node::Impl::startMetrics() {
  if (!MetricsHttp)
    return;
  absl::Status status = MetricsHttp->listen();
  if (status.ok())
    MetricsHttp->start();
  else
    logEvent(LogLevel::Error, "metrics_unavailable",
             {{"reason", std::string(status.message())}});
}

bool Node::Impl::isIdle() {
  bool isGateIdle = Traffic[0]->call([this] {
    return Gate->idle() && !Server->hasUnsent() && !CallerHttp->isBusy();
  });
  std::size_t inFlight = 0;
  for (std::size_t i = 0; i < Entries.size(); ++i)
    inFlight += Traffic[i]->call([this, i] { return Entries[i]->inFlight(); });
  return isGateIdle && inFlight == 0;
}

/// Returns once the other nodes have read what was sent to them.
void Node::Impl::finishLinks(Instant end) {
  Traffic[0]->call([this] {
    Server->finish(Gate->idle());
    return true;
  });
  Instant least = now() + LeastLinkCloseTime;
  auto isOver = [this, least, end] {
    if (Server->isFinished() || now() >= std::max(least, end))
      return true;
    return now() >= least && !Server->awaitsPeer();
  };
  while (!Traffic[0]->call(isOver))
    pauseFor(StopPoll);
}

/// Copies the key records to their successors, then releases the keeper lease.
void Node::Impl::handOnKeys() {
  auto handOn = [](KeyService *keys) -> asio::awaitable<bool> {
    co_return co_await keys->handOn(HandOnTimeout);
  };
  auto resign = [](Control *control) -> asio::awaitable<bool> {
    co_return co_await control->resign(HandOnTimeout);
  };
  bool isComplete =
      asio::co_spawn(Traffic[0]->Io, handOn(Keys.get()), asio::use_future)
          .get();
  if (isComplete)
    asio::co_spawn(ControlLoop.Io, resign(NodeControl.get()), asio::use_future)
        .get();
}

/// Runs on the same thread as stop(), so the limits of a stop need no lock.
bool Node::Impl::reload(const NodeSettings &read) {
  NodeSettings settings = Platform ? Platform->AdaptSettings(read) : read;
  Config.DrainLimit = settings.DrainLimit;
  Config.GateDrainLimit = settings.GateDrainLimit;
  Config.Linger = settings.Linger;
  if (settings.LogLevel != Config.LogLevel)
    setLogLevel(settings.LogLevel);
  Config.LogLevel = settings.LogLevel;
  return Config == settings;
}

bool Node::Impl::stop() {
  // First, since the calls below wait for the other threads.
  for (const auto &it : Entries)
    it->markLastTries();
  Instant begin = now();
  Instant end = begin + Config.Linger + Config.DrainLimit;
  Instant gateEnd = end + Config.GateDrainLimit;
  logEvent(LogLevel::Info, "stopping",
           {{"ends_in_ms", toMillis(end - begin).count()},
            {"gate_ends_in_ms", toMillis(gateEnd - begin).count()}});
  ControlLoop.call([this] {
    IsLeaving = true;
    NodeControl->leave();
    return true;
  });
  Traffic[0]->call([this, gateEnd] {
    CallerHttp->beginDrain();
    Gate->drainNow(gateEnd - LastWordTime);
    return true;
  });
  Instant lateAfter = begin + Config.Linger + FirstRequestTime;
  for (std::size_t i = 0; i < Entries.size(); ++i)
    Traffic[i]->call([this, i, end, lateAfter] {
      Entries[i]->beginDrain(end, lateAfter);
      return true;
    });
  if (!Platform)
    handOnKeys();
  bool isClean = false;
  bool isAccepting = true;
  while (!isClean && now() < gateEnd) {
    pauseFor(StopPoll);
    bool hasLingered = now() - begin >= Config.Linger;
    if (hasLingered && std::exchange(isAccepting, false))
      Traffic[0]->call([this] {
        CallerHttp->stop();
        return true;
      });
    for (std::size_t i = 0; i < Entries.size(); ++i)
      asio::post(Traffic[i]->Io,
                 [this, i, end] { Entries[i]->enforceShutdownDeadline(end); });
    isClean = hasLingered && isIdle();
  }
  finishLinks(gateEnd);
  std::size_t cutRuns = Traffic[0]->call([this] { return Gate->reportRuns(); });
  for (auto &loop : Traffic)
    loop->stop();
  ControlLoop.stop();
  logEvent(LogLevel::Info, "stopped",
           {{"clean", isClean},
            {"cut_runs", cutRuns},
            {"ms", toMillis(now() - begin).count()}});
  return isClean;
}

Node::Node(NodeSettings settings)
    : Pimpl(std::make_unique<Impl>(std::move(settings))) {}

Node::~Node() = default;

absl::Status Node::start() { return Pimpl->start(); }

bool Node::reload(const NodeSettings &settings) {
  return Pimpl->reload(settings);
}

bool Node::stop() { return Pimpl->stop(); }

} // namespace hickoryglade::fleet
