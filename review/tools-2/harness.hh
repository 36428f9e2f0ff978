#pragma once

// Stand-ins for the users' platform, and a runner of the project's own daemon.
// The stand-ins use blocking sockets and a thread a connection. All addresses
// are loopback addresses of a network that no other process uses.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Millis = std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;
using TimePoint = Steady::time_point;

/// Writes record.txt, each line with the seconds since the start.
class Record {
public:
  explicit Record(const std::string &file);
  void note(const std::string &line);
  /// Seconds since the start.
  double at() const;

private:
  std::mutex Lock;
  int File = -1;
  TimePoint Start = Steady::now();
};

using Headers = std::vector<std::pair<std::string, std::string>>;

std::string headerOf(const Headers &headers, const std::string &name);

/// The head of a request or of an answer.
struct Head {
  /// Words of the first line: method, target and version, or version, status
  /// and reason.
  std::vector<std::string> Words;
  Headers Fields;

  int status() const;
};

/// One end of a connection. Closes it when destroyed.
class Connection {
public:
  explicit Connection(int file) : File(file) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Returns null if nothing accepts the connection within the time.
  static std::unique_ptr<Connection> open(const std::string &address,
                                          Millis limit, int receiveBytes = 0);

  bool write(const std::string &bytes);
  /// Returns nothing if the connection ends or the time is over before the head
  /// is complete.
  std::optional<Head> readHead(TimePoint until);
  /// Reads a body with a length or in chunks; nothing if it is not complete.
  std::optional<std::string> readBody(const Head &head, TimePoint until);
  /// Reads some bytes; 0 at the end of the connection, -1 after an error or
  /// once the time is over.
  long readSome(TimePoint until);
  std::string &buffer() { return Buffer; }
  /// True once the peer has ended or reset the connection.
  bool isEndedByPeer();
  /// Ends this side only.
  void endWriting();
  /// Ends the connection by a reset.
  void reset();
  void shutdownBoth();

private:
  bool fill(TimePoint until);

  int File;
  std::string Buffer;
};

/// Accepts connections and serves each in a thread of its own.
class Listener {
public:
  using Handler = std::function<void(Connection &)>;

  Listener(std::string address, Handler handler);
  ~Listener();
  const std::string &address() const { return Address; }

private:
  void acceptAll();

  std::string Address;
  Handler Serve;
  int File = -1;
  std::atomic<bool> IsOver = false;
  std::mutex Lock;
  std::set<Connection *> Open;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

/// The platform's store: the calls that the adapter uses.
class Store {
public:
  explicit Store(const std::string &address);
  ~Store();
  /// Writes a configuration as the operator does. Returns when the store has
  /// acknowledged it.
  void configure(const std::string &json);
  const std::string &address() const { return Server->address(); }

private:
  struct Item {
    std::string Key;
    std::string Value;
  };

  void serve(Connection &connection);
  std::string append(const std::string &topic, const std::string &body);
  std::string read(const std::string &topic, std::size_t from, Millis wait);
  std::string newest(const std::string &topic);

  std::mutex Lock;
  std::condition_variable HasChanged;
  std::map<std::string, std::vector<Item>> Topics;
  std::atomic<bool> IsOver = false;
  std::unique_ptr<Listener> Server;
};

/// A request as a server has read it.
struct ServerRequest {
  Head Asked;
  std::string Body = {};
  std::string Id = {};
  std::string Path;
};

/// A server of the users: sends heartbeats to the node on its machine and runs
/// what the case tells it to.
class AppServer {
public:
  struct Place {
    std::string Address;
    std::string Control;
    std::string Id;
    std::string Service;
    int Slots = 3;
  };
  /// Answers one request; returns false if the connection has to end.
  using Worker = std::function<bool(Connection &, const ServerRequest &)>;

  AppServer(Place place, Record &record, Worker worker);
  ~AppServer();

  /// Times that an attempt has run here.
  int runs(const std::string &id);
  int allRuns();
  const Place &place() const { return At; }
  /// Seconds of the record's clock at which each run of an attempt began.
  std::vector<double> runTimes(const std::string &id);

  /// Stops the heartbeats; returns the number of the last one.
  int stopHeartbeats();
  /// Sends one heartbeat; returns true if it is acknowledged.
  bool sendHeartbeat(int sequence);
  /// Says that the server is gone; returns true if that is acknowledged.
  bool deregister();

  /// Sends a whole answer with the signature that a success needs.
  static bool answer(Connection &connection, const ServerRequest &request,
                     int status, const std::string &body,
                     const std::string &fields = "");

private:
  void serve(Connection &connection);
  void sendHeartbeats();

  Place At;
  Record &Log;
  Worker Work;
  long StartedAtMs;
  std::mutex Lock;
  std::map<std::string, std::vector<double>> Runs;
  bool tell(const std::string &call, const std::string &body);

  std::atomic<bool> IsOver = false;
  std::atomic<bool> IsSilent = false;
  std::atomic<int> Sequence = 0;
  std::unique_ptr<Listener> Server;
  std::thread Heartbeats;
};

/// One machine of a small deployment: its addresses and the daemon on it, which
/// is started as the deploy file says, with settings made from its template.
class Machine {
public:
  Machine(std::string name, std::string zone, std::string service,
          std::string ip, std::string storeAddress, std::string folder,
          Record &record);
  ~Machine();

  void start();
  void signal(int number);
  void kill();
  /// True if the daemon's process is there.
  bool isRunning();
  /// Waits for the end of the process; returns false if it goes on.
  bool awaitEnd(Millis limit);
  bool isReady();
  /// Memory of the process, in MB.
  double residentMegabytes() const;

  std::string outbound() const { return Ip + ":8304"; }
  std::string control() const { return Ip + ":8306"; }
  std::string ready() const { return Ip + ":8302"; }
  std::string app() const { return Ip + ":8301"; }
  const std::string &name() const { return Name; }
  const std::string &service() const { return Service; }
  const std::string &logFile() const { return Output; }

private:
  void writeSettings();

  std::string Name, Zone, Service, Ip, StoreAddress, Folder;
  std::string Settings, Output;
  Record &Log;
  pid_t Process = -1;
};

/// What a client has seen of one attempt.
struct ClientAnswer {
  bool IsConnected = false;
  /// True if the answer has arrived as a whole.
  bool IsWhole = false;
  Head Answered;
  std::string Body = {};
  double Seconds = 0;

  int status() const { return Answered.Words.empty() ? 0 : Answered.status(); }
  bool isSigned() const {
    return !headerOf(Answered.Fields, "Response-Signature").empty();
  }
};

struct ClientRequest {
  std::string Method = "GET";
  std::string Target = "/";
  std::string Host = "h.example";
  std::string Id = {};
  int RemainingMs = 1500;
  std::string Body = {};
  Headers More = {};
};

std::string requestBytes(const ClientRequest &request);
ClientAnswer sendRequest(const std::string &outbound,
                         const ClientRequest &request);

/// A network of loopback addresses, 127.X.Y.0, on which the ports are free.
std::string freeNetwork();

/// A temporary folder, removed when destroyed.
class Folder {
public:
  Folder();
  ~Folder();
  const std::string &path() const { return Path; }

private:
  std::string Path;
};

/// False with TROUBLE=0: the case does the same without the disruption.
bool hasTrouble();

void sleepFor(Millis time);

/// Waits until it holds; returns false once the time is over.
bool await(const std::function<bool()> &holds, Millis limit);

/// A route of a configuration as JSON.
std::string routeJson(const std::string &name, const std::string &kind,
                      const std::string &prefix, const std::string &action,
                      double timeoutSeconds = 2, int maxAttempts = 2);

/// A configuration as JSON, from its routes for the host h.example.
std::string configJson(int version, const std::vector<std::string> &services,
                       const std::vector<std::string> &routes);

std::string toService(const std::string &service);

} // namespace review
