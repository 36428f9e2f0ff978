#include "platform/platformfleet.h"
#include "process/testfleet.h"

#include "libfleet/base/asio.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>
#include <unistd.h>

/// Measures real processes on loopback: latency added to a direct call, CPU
/// cost of request logs, control-plane cost by fleet size, and CPU cost of idle
/// nodes on a platform.
///   loadtool latency | logs | control NODES | idle NODES

namespace {

using namespace hickoryglade::testing;
using nlohmann::json;
using Clock = std::chrono::steady_clock;
namespace beast = boost::beast;
namespace http = beast::http;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int Requests = 4'000;
constexpr int WorkMs = 0;

double msSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

double quantile(std::vector<double> values, double q) {
  std::ranges::sort(values);
  return values[std::size_t(q * double(values.size() - 1))];
}

/// Sends requests in sequence over one keep-alive connection and returns their
/// latencies in milliseconds.
std::vector<double> timeCalls(const std::string &address, int requests) {
  asio::io_context io;
  beast::tcp_stream stream(io);
  std::size_t colon = address.find(':');
  stream.connect(
      tcp::endpoint(asio::ip::make_address(address.substr(0, colon)),
                    std::uint16_t(std::stoi(address.substr(colon + 1)))));
  stream.socket().set_option(tcp::no_delay(true));
  beast::flat_buffer buf;
  std::vector<double> times;
  for (int i = 0; i < requests; ++i) {
    http::request<http::string_body> request(http::verb::get, "/", 11);
    request.set(http::field::host, "s.example");
    request.set("X-Work-Ms", std::to_string(WorkMs));
    auto start = Clock::now();
    http::write(stream, request);
    http::response<http::string_body> answer;
    http::read(stream, buf, answer);
    times.push_back(msSince(start));
  }
  return times;
}

/// CPU time of a process in milliseconds, from the scheduler's statistics.
double cpuMs(pid_t id) {
  double nanos = 0;
  std::filesystem::path tasks = "/proc/" + std::to_string(id) + "/task";
  for (const auto &task : std::filesystem::directory_iterator(tasks)) {
    std::ifstream in(task.path() / "schedstat");
    double onCpu = 0;
    in >> onCpu;
    nanos += onCpu;
  }
  return nanos / 1e6;
}

long residentKb(pid_t id) {
  std::ifstream in("/proc/" + std::to_string(id) + "/status");
  std::string line;
  while (std::getline(in, line))
    if (line.starts_with("VmRSS:"))
      return std::stol(line.substr(6));
  return 0;
}

void printTimes(const char *what, const std::vector<double> &times) {
  std::printf("%-22s p50 %.3f ms  p99 %.3f ms\n", what, quantile(times, 0.5),
              quantile(times, 0.99));
}

int measureLatency() {
  TestFleet fleet;
  fleet.startLog();
  for (const char *node : {"n1", "n2"})
    fleet.startNode(node);
  fleet.startEndpoint("e2", "n2");
  fleet.publishDefaults();
  fleet.awaitReady();
  timeCalls(fleet.node("n1").Http, 500);
  double cpuBefore = cpuMs(fleet.process("n1").id());
  double gateBefore = cpuMs(fleet.process("n2").id());
  std::vector<double> direct = timeCalls(fleet.endpointAddress("e2"), Requests);
  std::vector<double> remote = timeCalls(fleet.node("n1").Http, Requests);
  double entryCpu = cpuMs(fleet.process("n1").id()) - cpuBefore;
  double gateCpu = cpuMs(fleet.process("n2").id()) - gateBefore;
  std::vector<double> local = timeCalls(fleet.node("n2").Http, Requests);
  printTimes("direct", direct);
  printTimes("entry and gate apart", remote);
  printTimes("entry and gate in one", local);
  std::printf("cpu per request: entry %.1f us, gate %.1f us\n",
              entryCpu * 1'000 / Requests, gateCpu * 1'000 / Requests);
  std::vector<std::thread> callers;
  auto start = Clock::now();
  for (int i = 0; i < 8; ++i)
    callers.emplace_back(
        [&] { timeCalls(fleet.node("n1").Http, Requests / 4); });
  for (std::thread &it : callers)
    it.join();
  std::printf("8 callers: %.0f requests/s\n",
              8.0 * Requests / 4 / msSince(start) * 1'000);
  return 0;
}

/// CPU time per request, in microseconds, at a node that is both entry and
/// gate.
double cpuPerRequest(const std::string &logLevel) {
  TestFleet fleet;
  fleet.setLogLevel(logLevel);
  fleet.startLog();
  for (const char *node : {"n1", "n2"})
    fleet.startNode(node);
  fleet.startEndpoint("e1", "n1");
  fleet.publishDefaults();
  fleet.awaitReady();
  timeCalls(fleet.node("n1").Http, 500);
  double before = cpuMs(fleet.process("n1").id());
  timeCalls(fleet.node("n1").Http, Requests);
  return (cpuMs(fleet.process("n1").id()) - before) * 1'000 / Requests;
}

/// Compares log level info, which writes four lines per request, with error,
/// which writes none.
int measureLogs() {
  constexpr int Rounds = 5;
  std::vector<double> with;
  std::vector<double> without;
  for (int i = 0; i < Rounds; ++i) {
    with.push_back(cpuPerRequest("info"));
    without.push_back(cpuPerRequest("error"));
  }
  double high = quantile(with, 0.5);
  double low = quantile(without, 0.5);
  std::printf("cpu per request: %.1f us with logs, %.1f us without: %.1f%%\n",
              high, low, (high - low) / high * 100);
  return 0;
}

int measureControl(int nodes) {
  TestFleet fleet;
  fleet.startLog();
  for (int i = 0; i < nodes; ++i)
    fleet.startNode("n" + std::to_string(100 + i));
  fleet.startEndpoint("e1", "n100");
  fleet.publishDefaults();
  fleet.awaitReady();
  std::this_thread::sleep_for(std::chrono::seconds(7));
  ChildProcess &probe = fleet.process("n" + std::to_string(100 + nodes / 2));
  json before = fleet.status("n" + std::to_string(100 + nodes / 2));
  double cpu = cpuMs(probe.id());
  constexpr int Seconds = 10;
  std::this_thread::sleep_for(std::chrono::seconds(Seconds));
  json after = fleet.status("n" + std::to_string(100 + nodes / 2));
  double bytes = after["gossip_bytes_sent"].get<double>() -
                 before["gossip_bytes_sent"].get<double>();
  std::printf("%d nodes: cpu %.2f ms/s, memory %ld KB, gossip sent %.0f B/s\n",
              nodes, (cpuMs(probe.id()) - cpu) / Seconds,
              residentKb(probe.id()), bytes / Seconds);
  return 0;
}

/// Heartbeats, readiness checks and polls of the store continue, as they do on
/// the platform.
int measureIdle(int nodes) {
  constexpr int HeartbeatMs = 1'500;
  constexpr int Seconds = 20;
  PlatformFleet fleet;
  fleet.setHeartbeatMs(HeartbeatMs);
  fleet.startStore();
  std::vector<std::string> names;
  for (int i = 0; i < nodes; ++i)
    names.push_back("n" + std::to_string(100 + i));
  for (const std::string &it : names) {
    fleet.startNode(it);
    fleet.startServer(it);
  }
  fleet.configure(defaultConfig(1));
  fleet.awaitServing();
  std::this_thread::sleep_for(std::chrono::seconds(7));
  std::vector<double> before;
  for (const std::string &it : names)
    before.push_back(cpuMs(fleet.process(it).id()));
  auto start = Clock::now();
  for (int second = 1; second <= Seconds; ++second) {
    for (const std::string &it : names)
      fleet.readiness(it);
    std::this_thread::sleep_until(start + std::chrono::seconds(second));
  }
  std::vector<double> rates;
  for (std::size_t i = 0; i < names.size(); ++i)
    rates.push_back((cpuMs(fleet.process(names[i]).id()) - before[i]) /
                    Seconds);
  std::printf("%d nodes without requests: cpu p50 %.2f ms/s, most %.2f ms/s\n",
              nodes, quantile(rates, 0.5), quantile(rates, 1));
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  std::string what = argc > 1 ? argv[1] : "";
  if (what == "latency")
    return measureLatency();
  if (what == "control" && argc > 2)
    return measureControl(std::atoi(argv[2]));
  if (what == "logs")
    return measureLogs();
  if (what == "idle" && argc > 2)
    return measureIdle(std::atoi(argv[2]));
  std::cerr << "Usage: loadtool latency | logs | control NODES | idle NODES\n";
  return 2;
}
