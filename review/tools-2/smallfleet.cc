#include "smallfleet.hh"

namespace review {

SmallFleet::SmallFleet(Record &record, std::vector<std::string> services,
                       AppServer::Worker worker)
    : Log(record) {
  std::string net = freeNetwork();
  Operator = std::make_unique<Store>(net + "1:8309");
  for (std::size_t i = 0; i < services.size(); ++i) {
    std::string ip = net + std::to_string(i + 2);
    std::string zone = i % 2 == 0 ? "zone-a" : "zone-b";
    Machines.push_back(std::make_unique<Machine>(
        "app_host-" + zone + "-" + std::to_string(i + 1), zone, services[i], ip,
        Operator->address(), Temporary.path(), Log));
    Machines.back()->start();
    Servers.push_back(std::make_unique<AppServer>(
        AppServer::Place{Machines.back()->app(), Machines.back()->control(),
                         "i-" + std::to_string(i + 1), services[i]},
        Log, worker));
  }
}

bool SmallFleet::begin(const std::string &config, const std::string &target) {
  Operator->configure(config);
  bool isServing = awaitServing(target, Millis(20'000));
  if (!isServing)
    Log.note("the fleet does not serve");
  return isServing;
}

bool SmallFleet::awaitServing(const std::string &target, Millis limit) {
  for (auto &machine : Machines) {
    bool isServing = await(
        [&] {
          ClientRequest request{"GET", target};
          request.Id = "check-" + std::to_string(++Checks);
          return machine->isReady() &&
                 sendRequest(machine->outbound(), request).status() == 200;
        },
        limit);
    if (!isServing)
      return false;
  }
  return true;
}

int SmallFleet::runs(const std::string &id) {
  int all = 0;
  for (auto &it : Servers)
    all += it->runs(id);
  return all;
}

} // namespace review
