#include "libfleet/node/control.h"

#include "libfleet/base/clock.h"
#include "libfleet/peers/wireconvert.h"
#include "libfleet/reporting/logging.h"
#include "libfleet/settings/settingscontent.h"
#include "libhickoryglade/random.h"

#include <nlohmann/json.hpp>

#include <algorithm>

/// The part of a node's control plane that exchanges settings with other nodes.

namespace hickoryglade::fleet {

namespace {

constexpr std::size_t MaxMembers = 3;

/// Time in which a member has to begin to send its settings, and bound on the
/// whole transfer. Between them only pauses are bounded.
constexpr Micros TransferBeginLimit = std::chrono::milliseconds(500);
constexpr Micros TransferLimit = std::chrono::seconds(10);

} // namespace

/// Addresses of the members, or of seeds while no member is known.
std::vector<std::string> Control::memberAddresses() const {
  std::vector<std::string> addresses;
  for (const Member *peer : peers(Members.state()))
    addresses.push_back(peer->Record.FleetAddress);
  return addresses.empty() ? Config.Seeds : addresses;
}

asio::awaitable<Control::FetchResult> Control::fetchFromMembers() {
  return fetchFromAny(memberAddresses(), MaxMembers);
}

/// Requests the settings from a few members. Returns false if none replied.
asio::awaitable<bool> Control::fetchSettings() {
  // Two transfers of one document would each take twice as long.
  if (IsCatchingUp)
    co_return false;
  FetchResult result = co_await fetchFromMembers();
  co_return result == FetchResult::Answered;
}

asio::awaitable<Control::FetchResult>
Control::fetchFromAny(std::vector<std::string> addresses, std::size_t most) {
  std::erase(addresses, Config.AdvertisedAddress);
  std::ranges::shuffle(addresses, Random(std::uint64_t(wallMicros())));
  addresses.resize(std::min(addresses.size(), most));
  FetchResult best = FetchResult::Failed;
  for (const std::string &address : addresses) {
    FetchResult result = co_await fetchFrom(address);
    if (result != FetchResult::Failed)
      best = result;
    if (result == FetchResult::Answered && Settings.hasDocumentSource())
      break;
  }
  co_return best;
}

/// Requests what differs in a member's settings.
asio::awaitable<Control::FetchResult> Control::fetchFrom(std::string address) {
  NodeView view;
  view.FleetAddress = address;
  auto client =
      co_await Links.connect(address, view, now() + TransferBeginLimit);
  if (!client) {
    reportFailedTransfer(address, "the member cannot be reached");
    co_return FetchResult::Failed;
  }
  auto box = std::make_shared<StreamMailbox>(Io.get_executor());
  wire::Frame frame;
  frame.stream = client->open(box, 0);
  std::int64_t stream = frame.stream;
  frame.__set_snapshotRequest({});
  frame.snapshotRequest.__set_digest(
      Settings.hasDocumentSource() ? toWire(digestOf(Settings.state().Tree))
                                   : "");
  client->channel().send(std::move(frame));
  Instant askedAt = now();
  std::optional<StreamEvent> event = co_await awaitSettings(box, askedAt);
  if (!event) {
    client->closeStream(stream);
    wire::Frame cancel;
    cancel.stream = stream;
    cancel.__set_cancel({});
    client->channel().send(std::move(cancel));
    reportFailedTransfer(address, "the member stopped sending");
    co_return FetchResult::Failed;
  }
  auto *settings = std::get_if<SettingsEvent>(&event->Content);
  if (settings && settings->Head.isBusy)
    co_return FetchResult::Busy;
  std::string fault = takeSettings(*event, askedAt);
  if (fault.empty())
    co_return FetchResult::Answered;
  reportFailedTransfer(address, fault);
  co_return FetchResult::Failed;
}

/// Waits for the end of a transfer; returns nullopt if it stops in between.
asio::awaitable<std::optional<StreamEvent>>
Control::awaitSettings(std::shared_ptr<StreamMailbox> box, Instant askedAt) {
  std::optional<StreamEvent> event =
      co_await box->next(askedAt + TransferBeginLimit);
  while (event && std::holds_alternative<ProgressEvent>(event->Content)) {
    IsReceiving = true;
    TransferProgressAt = now();
    Instant until = std::min(TransferProgressAt + TransferPauseLimit,
                             askedAt + TransferLimit);
    event = co_await box->next(until);
  }
  IsReceiving = false;
  co_return event;
}

void Control::reportFailedTransfer(const std::string &address,
                                   const std::string &reason) const {
  logEvent(LogLevel::Info, "settings_transfer_failed",
           {{"member", address}, {"reason", reason}});
}

/// Takes over the settings that a member has sent. Returns why it cannot, or an
/// empty text.
std::string Control::takeSettings(const StreamEvent &event, Instant askedAt) {
  // Members of earlier releases send everything in one frame.
  if (const auto *whole = std::get_if<wire::Snapshot>(&event.Content)) {
    if (whole->settingsOffset < 0)
      return "the member has no settings";
    Settings.merge(fromWire(*whole));
    return "";
  }
  const auto *settings = std::get_if<SettingsEvent>(&event.Content);
  if (!settings)
    return "the link was lost";
  const wire::SnapshotHead &head = settings->Head;
  if (head.settingsOffset < 0)
    return "the member has no settings";
  auto plain = decompress(settings->Content, std::size_t(head.plainBytes));
  auto snapshot = plain ? decodeSnapshot(*plain) : std::nullopt;
  if (!snapshot)
    return "the content is malformed";
  if (!Settings.hasDocumentSource()) {
    Settings.merge(fromWire(*snapshot));
    return "";
  }
  std::optional<SettingsPart> part = partFromWire(*snapshot);
  if (!part)
    return "a value is invalid";
  std::optional<SourcePosition> position;
  if (head.__isset.position)
    position = {head.position.offset, head.position.incarnation};
  if (Settings.adopt(*part, position) == AdoptResult::Mismatch)
    return "the settings differ in other parts too";
  // The age was right when the head was sent, at the earliest when it was asked
  // for.
  bool isInForce = Settings.state().Next == part->Next;
  if (isInForce && head.__isset.settingsAgeMs && head.settingsAgeMs >= 0)
    Settings.noteCurrent(askedAt - Millis(head.settingsAgeMs));
  return "";
}

wire::Snapshot Control::snapshot() const {
  wire::Snapshot out = toWire(Settings.state());
  if (!Settings.isLoaded())
    out.settingsOffset = -1;
  return out;
}

SettingsSender::Reply Control::replyToRequest(const std::string &digest,
                                              const std::string &node) {
  SettingsSender::Reply none;
  none.Head.settingsOffset = -1;
  if (!Settings.isLoaded())
    return none;
  auto reply =
      Sender.replyTo(digest, Settings.state(), Settings.hasDocumentSource());
  if (!reply) {
    logEvent(LogLevel::Warn, "settings_request_malformed", {{"node", node}});
    return none;
  }
  if (auto position = Settings.sourcePosition()) {
    wire::SourcePosition out;
    out.offset = position->Offset;
    out.incarnation = position->Incarnation;
    reply->Head.__set_position(out);
  }
  if (auto age = settingsAge())
    reply->Head.__set_settingsAgeMs(std::chrono::ceil<Millis>(*age).count());
  logEvent(LogLevel::Info, "settings_sent",
           {{"node", node},
            {"next", reply->Head.settingsOffset},
            {"busy", reply->Head.isBusy},
            {"bytes", reply->Head.contentBytes},
            {"plain_bytes", reply->Head.plainBytes}});
  return std::move(*reply);
}

} // namespace hickoryglade::fleet
