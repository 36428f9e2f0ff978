#pragma once

#include "libfleet/base/asio.h"
#include "libfleet/reporting/trafficcounters.h"
#include "libhickoryglade/membership.h"
#include "libhickoryglade/quarantine.h"
#include "libhickoryglade/standingboard.h"

#include <absl/status/status.h>

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace hickoryglade::wire {
class Gossip;
} // namespace hickoryglade::wire

namespace hickoryglade::fleet {

/// What a member knows of the settings and their source.
struct SettingsNotice {
  std::string Sender;
  /// Version up to which the sender has the settings.
  std::int64_t Next = 0;
  /// Time since that version is known to have been the newest, if it is known.
  std::optional<Micros> Age;
  /// Incarnation of the source; 0 if it is not known.
  std::int64_t SourceIncarnation = 0;
  /// Newer settings are arriving at the sender from their source.
  bool IsReading = false;

  bool operator==(const SettingsNotice &) const = default;
};

/// Runs the membership protocol over UDP on the control thread.
class MembershipService {
public:
  struct Events {
    /// The state of some member has changed.
    std::function<void()> OnChange;
    std::function<void(std::uint64_t, CrashRecord)> OnCrash;
    /// A gossip message named a newer settings version than any before.
    std::function<void()> OnNewerSettings;
    std::function<void(const StandingReport &)> OnStandings;
    std::function<void(const SettingsNotice &)> OnSettingsNotice;
    std::function<void(std::vector<DepartedRecord>)> OnDeparted;
  };

  MembershipService(asio::io_context &io, std::string listenAddress,
                    TrafficCounters &traffic, Membership initial,
                    Events events);

  absl::Status start();

  const Membership &state() const { return State; }

  /// Replaces this node's own record. An urgent change is sent to members at
  /// once; any other spreads by gossip.
  void publishSelf(const MemberRecord &record, bool isUrgent);

  /// Sets the settings version that this node reports in each message.
  void setSettingsNext(std::int64_t next) { State.SettingsNext = next; }

  /// Adds addresses to be queried for members.
  void addSeeds(const std::vector<std::string> &addresses);

  /// Sends a crash record to all members, or, if it only clears a content, to
  /// some, which forward it.
  void broadcastCrash(std::uint64_t fingerprint, const CrashRecord &record);

  /// Sends a report to the members in this node's data centre.
  void broadcastStandings(const StandingReport &report);

  /// Sends members what this node knows of the settings: their version, the
  /// time since it is known to have been the newest, the source's incarnation,
  /// and whether newer ones are arriving.
  void sendSettingsNotice(const std::vector<const Member *> &targets,
                          std::optional<Micros> age,
                          std::int64_t sourceIncarnation, bool isReading);

  /// Up to `fanOut` random members in this node's data centre.
  std::vector<const Member *> someNearPeers(std::size_t fanOut);

private:
  wire::Gossip ownGossip() const;
  void receiveNext();
  void handleDatagram(std::size_t n);
  void sendCrash(std::uint64_t fingerprint, const CrashRecord &record,
                 std::size_t fanOut);
  void takeCrashes(const wire::Gossip &gossip);
  void send(const std::vector<OutgoingGossip> &messages);
  void sendBytes(const std::string &address, const std::string &bytes,
                 TrafficCause cause = TrafficCause::Membership);
  bool isFar(const std::string &address) const;
  void scheduleTick();
  void reportChange();

  udp::socket Socket;
  asio::steady_timer Timer;
  std::string ListenAddress;
  TrafficCounters &Traffic;
  Membership State;
  Events Handlers;
  Quarantine Known;
  std::int64_t ReportedRevision = -1;
  udp::endpoint Sender;
  std::array<char, 65'536> Buffer{};
};

} // namespace hickoryglade::fleet
