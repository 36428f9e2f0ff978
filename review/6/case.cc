// A server that fails part of the orders which it has run, by 503 without
// Not-Executed. Checks rule REFUSED as it stands.

#include "smallfleet.hh"

using namespace review;

namespace {

constexpr int Machines = 7;
constexpr int Orders = 140;
constexpr int OrderGapMs = 70;
constexpr int WorkMs = 100;

/// The server that fails, and the time for which it does (kinds: srv_grey,
/// share .15 of a service's servers, x .4 of their requests, 5 s).
const std::string GreyServer = "i-1";
constexpr double GreyFrom = 2;
constexpr double GreyFor = 5;
constexpr int GreyOfTen = 4;

class Orderers {
public:
  Orderers(SmallFleet &fleet, Record &record) : Fleet(fleet), Log(record) {}

  void sendAll() {
    std::vector<std::thread> clients;
    for (int i = 0; i < Orders; ++i) {
      clients.emplace_back([this, i] { place(i); });
      sleepFor(Millis(OrderGapMs));
    }
    for (std::thread &it : clients)
      it.join();
  }

  /// Attempts that were answered by a promise and have run.
  int broken() const { return Broken; }

private:
  /// Retries once, after a promise only, as the pages say of clients.
  void place(int order) {
    for (int attempt = 1; attempt <= 2; ++attempt) {
      ClientRequest request{"POST", "/orders/" + std::to_string(order)};
      request.Id = "order-" + std::to_string(order) + "-attempt-" +
                   std::to_string(attempt);
      request.Body = "print order " + std::to_string(order);
      ClientAnswer answer = sendRequest(
          Fleet.machine(std::size_t(order % Machines)).outbound(), request);
      sleepFor(Millis(300));
      int runs = Fleet.runs(request.Id);
      int status = answer.status();
      bool isPromise =
          status == 429 || status == 503 || status == 408 || status == 421;
      bool isBroken = isPromise && runs > 0;
      Log.note(request.Id + " answered " + std::to_string(status) +
               (answer.isSigned() ? " with" : " without") +
               " the server's signature, has run " + std::to_string(runs) +
               " times" + (isBroken ? " REFUSED BROKEN" : ""));
      Broken += isBroken;
      if (!isPromise)
        return;
    }
  }

  SmallFleet &Fleet;
  Record &Log;
  std::atomic<int> Broken = 0;
};

} // namespace

int main() {
  Record record("review/6/record.txt");
  std::atomic<double> begin = 0;
  std::atomic<int> seen = 0;
  auto work = [&](Connection &connection, const ServerRequest &request) {
    sleepFor(Millis(WorkMs));
    bool isHere =
        headerOf(request.Asked.Fields, "Expected-Instance") == GreyServer;
    double since = record.at() - begin;
    bool isGrey = hasTrouble() && isHere && begin > 0 && since >= GreyFrom &&
                  since < GreyFrom + GreyFor;
    if (!isGrey || seen++ % 10 >= GreyOfTen)
      return AppServer::answer(connection, request, 200, "placed");
    record.note(GreyServer + " has run " + request.Id +
                " and answers 503, without Not-Executed");
    return AppServer::answer(connection, request, 503, "its database is away",
                             "Response-Signature: signed-" + request.Id +
                                 "\r\n");
  };
  SmallFleet fleet(record, std::vector<std::string>(Machines, "orders"), work);
  bool isServing =
      fleet.begin(configJson(1, {"orders"},
                             {routeJson("place", "non_idempotent", "/orders/",
                                        toService("orders")),
                              routeJson("status", "safe", "/status/",
                                        toService("orders"))}),
                  "/status/check");
  if (!isServing)
    return 2;
  begin = record.at();
  Orderers orderers(fleet, record);
  orderers.sendAll();
  record.note(std::to_string(orderers.broken()) +
              " attempts were answered by a promise though they have run");
  return orderers.broken() > 0 ? 1 : 0;
}
