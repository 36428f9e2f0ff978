#pragma once

#include "libfleet/base/mailbox.h"
#include "libfleet/http/bodybudget.h"
#include "libfleet/peers/framechannel.h"
#include "libhickoryglade/errorkind.h"

#include "fleet_types.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace hickoryglade::fleet {

struct GrantEvent {
  std::string Endpoint;
  /// Load of the gate with the granted slot in use, if it was asked for.
  std::optional<wire::Load> Load = std::nullopt;
};

struct AnswerEvent {
  HttpResponse Answer;
  std::string Endpoint;
  wire::Load Load;
  /// Duration of the exchange with the endpoint.
  Micros RunTime{0};
  /// What the endpoint says about itself, if it names a limit or is leaving.
  std::optional<wire::EndpointNotice> Notice = std::nullopt;
};

/// The attempt is overdue at an endpoint that stalls, or its gate ends soon.
struct OverdueEvent {
  /// Time until the gate ends the attempt, if it is stopping.
  std::optional<Micros> EndsIn = std::nullopt;
};

struct RevokedEvent {
  int State = 0;
  /// The node that relayed the query could not reach the gate.
  bool IsUnreachable = false;
};

/// Settings of another node.
struct SettingsEvent {
  wire::SnapshotHead Head;
  std::string Content;
};

/// A part of the content of a SettingsEvent has arrived.
struct ProgressEvent {};

/// The channel closed before the stream was complete.
struct LostEvent {
  /// The gate has ended without running the call of the stream.
  bool HasNotRun = false;
};

/// The caller closed its connection.
struct CancelledEvent {};

/// The node exits before the stream can complete.
struct StoppedEvent {};

/// The attempt beside this one has ended.
struct ReplacementEvent {};

/// An event on a stream.
struct StreamEvent {
  /// The tag that was passed to GateClient::open().
  std::size_t Tag = 0;
  std::variant<GrantEvent, OverdueEvent, AnswerEvent, wire::Failure,
               RevokedEvent, wire::KeyReply, wire::QuotaReply, wire::Snapshot,
               SettingsEvent, ProgressEvent, LostEvent, CancelledEvent,
               StoppedEvent, ReplacementEvent>
      Content;
};

using StreamMailbox = Mailbox<StreamEvent>;

/// The client side of a channel: demultiplexes frames into streams and
/// reassembles responses. Frames of closed streams are dropped.
class GateClient {
public:
  /// Bodies of responses are reassembled within the budget.
  GateClient(std::shared_ptr<FrameChannel> channel, BodyBudgetPtr budget);

  /// Opens a stream whose events go to the mailbox.
  std::int64_t open(std::shared_ptr<StreamMailbox> mailbox, std::size_t tag);
  void closeStream(std::int64_t stream);

  FrameChannel &channel() { return *Channel; }
  std::size_t openStreams() const { return Streams.size(); }

  /// Returns false if the frame violates the protocol.
  bool takeFrame(wire::Frame frame);

  /// Processes the whole body of a response.
  void takeBody(std::int64_t id, Body body);

  /// Closes all streams with a LostEvent after the channel was lost. If
  /// `hasEnded`, the gate has said that it runs no more calls.
  void failStreams(bool hasEnded = false);

  /// Called whenever the number of open streams changes.
  std::function<void(std::size_t)> OnStreamCount;

private:
  struct Stream {
    std::shared_ptr<StreamMailbox> Box;
    std::size_t Tag = 0;
    /// Head of the response; set while its body is incomplete.
    std::optional<wire::Answer> Head;
    /// Likewise for settings.
    std::optional<wire::SnapshotHead> SettingsHead = std::nullopt;
    std::string Content;
    std::optional<HeldBytes> Held = std::nullopt;
  };

  bool takeData(std::int64_t id, Stream &stream, wire::Data data);
  bool takeHead(std::int64_t id, Stream &stream, wire::Answer head);
  bool takeSettingsHead(std::int64_t id, Stream &stream,
                        wire::SnapshotHead head);
  bool takeSettingsData(std::int64_t id, Stream &stream, wire::Data data);
  void finishAnswer(std::int64_t id, Stream &stream, Body body);
  void rejectAnswer(std::int64_t id, Stream &stream, ErrorKind kind,
                    const std::string &reason);
  void finishSettings(std::int64_t id, Stream &stream);
  void notifyStreamCount();

  std::shared_ptr<FrameChannel> Channel;
  BodyBudgetPtr Budget;
  std::map<std::int64_t, Stream> Streams;
  std::int64_t NextStream = 1;
};

/// Builds the head frame of a response; its body is sent separately.
wire::Frame toFrame(const HttpResponse &answer, const std::string &endpoint,
                    const wire::Load &load, Micros runTime);

/// True for a head that can be passed on as that of a final response.
bool isValidHead(int status, const std::vector<wire::Header> &headers);

std::vector<HttpHeader> fromWire(const std::vector<wire::Header> &headers);
std::vector<wire::Header> toWire(const std::vector<HttpHeader> &headers);

} // namespace hickoryglade::fleet
