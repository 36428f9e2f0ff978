// A server says that it is gone and gets its acknowledgement. All processes of
// the system are killed and start again; a heartbeat of the server arrives some
// seconds late. Checks rule DRAIN.

#include "smallfleet.hh"

using namespace review;

namespace {

constexpr int Machines = 7;
constexpr std::size_t Leaver = 0;

/// Bounds of the deployment.
constexpr double DrainSeconds = 2;
constexpr double StableWindowSeconds = 3;

/// The late heartbeat is sent before the server leaves, and arrives this long
/// after the acknowledgement. The server goes on serving for some seconds.
constexpr int HeartbeatLateMs = 2'000;
constexpr int ServesOnMs = 6'000;

/// Sends safe requests in turn to all machines until it is stopped.
class Lookups {
public:
  Lookups(SmallFleet &fleet, Record &record) : Fleet(fleet), Log(record) {}

  void run() {
    std::vector<std::thread> clients;
    for (int i = 0; !IsOver; ++i) {
      clients.emplace_back([this, i] {
        ClientRequest request{"GET", "/status/" + std::to_string(i)};
        request.Id = "lookup-" + std::to_string(i);
        double at = Log.at();
        {
          std::lock_guard lock(Lock);
          Sent.emplace_back(request.Id, at);
        }
        std::size_t machine = std::size_t(i) % Fleet.size();
        ClientAnswer answer =
            sendRequest(Fleet.machine(machine).outbound(), request);
        Log.note(request.Id + " answered " + std::to_string(answer.status()) +
                 " by " + Fleet.machine(machine).name());
      });
      sleepFor(Millis(25));
    }
    for (std::thread &it : clients)
      it.join();
  }
  void stop() { IsOver = true; }

  /// Ids with the seconds at which they were sent.
  std::vector<std::pair<std::string, double>> Sent;

private:
  SmallFleet &Fleet;
  Record &Log;
  std::mutex Lock;
  std::atomic<bool> IsOver = false;
};

} // namespace

int main() {
  Record record("review/8/record.txt");
  auto work = [](Connection &connection, const ServerRequest &request) {
    sleepFor(Millis(40));
    return AppServer::answer(connection, request, 200, "done");
  };
  SmallFleet fleet(record, std::vector<std::string>(Machines, "orders"), work);
  bool isServing =
      fleet.begin(configJson(1, {"orders"},
                             {routeJson("status", "safe", "/status/",
                                        toService("orders"))}),
                  "/status/check");
  if (!isServing)
    return 2;
  Lookups lookups(fleet, record);
  std::thread clients([&] { lookups.run(); });
  sleepFor(Millis(4'000));

  AppServer &server = fleet.server(Leaver);
  int late = server.stopHeartbeats() + 1;
  sleepFor(Millis(300));
  if (!server.deregister())
    return 2;
  double acknowledgedAt = record.at();
  record.note(server.place().Id + " is acknowledged as gone");
  sleepFor(Millis(300));
  if (hasTrouble()) {
    for (std::size_t i = 0; i < fleet.size(); ++i)
      fleet.machine(i).kill();
    sleepFor(Millis(300));
    for (std::size_t i = 0; i < fleet.size(); ++i)
      fleet.machine(i).start();
  }
  double startedAt = record.at();
  while (record.at() < acknowledgedAt + HeartbeatLateMs / 1e3)
    sleepFor(Millis(10));
  bool isTaken = server.sendHeartbeat(late);
  record.note("the late heartbeat of " + server.place().Id + " arrives, " +
              (isTaken ? "acknowledged" : "not acknowledged"));
  sleepFor(Millis(ServesOnMs));
  lookups.stop();
  clients.join();

  int broken = 0;
  for (const auto &[id, sentAt] : lookups.Sent)
    for (double ranAt : server.runTimes(id)) {
      bool isInTouch = sentAt > startedAt + StableWindowSeconds + 0.5;
      bool isBroken = isInTouch && ranAt > acknowledgedAt + DrainSeconds;
      if (isBroken)
        record.note(id + " reached " + server.place().Id + " " +
                    std::to_string(ranAt - acknowledgedAt) +
                    " s after the acknowledgement: DRAIN BROKEN");
      broken += isBroken;
    }
  record.note(std::to_string(broken) +
              " requests reached the server that is gone");
  return broken > 0 ? 1 : 0;
}
