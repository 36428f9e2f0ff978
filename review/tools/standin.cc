// Stand-ins for the review's cases, written from the users' pages: the
// platform's store, servers, clients, and the platform's care for a process.
// One program, so that review/build.sh needs one compiler call.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

// Options and records ------------------------------------------------------

std::map<std::string, std::string> Options;

std::string option(const std::string &name, const std::string &fallback) {
  auto it = Options.find(name);
  return it == Options.end() ? fallback : it->second;
}

int number(const std::string &name, int fallback) {
  return std::stoi(option(name, std::to_string(fallback)));
}

std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Appends one line to the record that all programs of a case share.
void record(const std::string &line) {
  static const int fd = open(option("record", "/dev/null").c_str(),
                             O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::string text = std::to_string(wallMs()) + " " + line + "\n";
  if (write(fd, text.data(), text.size()) < 0)
    std::cerr << "cannot write the record\n";
}

void sleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Sockets and HTTP ---------------------------------------------------------

sockaddr_in toSocketAddress(const std::string &address) {
  std::size_t colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(std::uint16_t(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

void setNoDelay(int fd) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int listenAt(const std::string &address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = toSocketAddress(address);
  if (bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0 ||
      listen(fd, 512) != 0) {
    std::cerr << "cannot listen on " << address << "\n";
    std::exit(2);
  }
  return fd;
}

/// Returns -1 if the connection is not established within a second.
int connectTo(const std::string &address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in to = toSocketAddress(address);
  int result = connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to);
  if (result != 0) {
    pollfd it{fd, POLLOUT, 0};
    int fault = 0;
    socklen_t size = sizeof fault;
    bool isDone = errno == EINPROGRESS && poll(&it, 1, 1000) == 1;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &fault, &size);
    if (!isDone || fault != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  setNoDelay(fd);
  return fd;
}

bool sendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(std::size_t(n));
  }
  return true;
}

struct Message {
  std::string Start;
  std::map<std::string, std::string> Headers;
  std::string Body;
  std::size_t BodyBytes = 0;

  std::string header(const std::string &name) const {
    auto it = Headers.find(name);
    return it == Headers.end() ? "" : it->second;
  }
};

/// Reads messages from one connection until a time.
class Reader {
public:
  explicit Reader(int fd) : Fd(fd) {}

  void setLimit(Clock::time_point until) { Until = until; }

  /// Returns nullopt at the end of the connection or of the time.
  std::optional<Message> next(bool isResponse) {
    std::size_t end = 0;
    while ((end = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill())
        return std::nullopt;
    Message out = parseHead(Buffer.substr(0, end));
    Buffer.erase(0, end + 4);
    bool isWhole = out.header("transfer-encoding") == "chunked"
                       ? readChunks(out)
                       : readCounted(out, isResponse);
    return isWhole ? std::optional(std::move(out)) : std::nullopt;
  }

  bool isEmpty() const { return Buffer.empty(); }

private:
  static Message parseHead(const std::string &head) {
    Message out;
    std::istringstream in(head);
    std::getline(in, out.Start);
    if (!out.Start.empty() && out.Start.back() == '\r')
      out.Start.pop_back();
    std::string line;
    while (std::getline(in, line)) {
      std::size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      std::string name = line.substr(0, colon);
      std::ranges::transform(name, name.begin(),
                             [](unsigned char c) { return tolower(c); });
      std::size_t begin = line.find_first_not_of(" \t", colon + 1);
      std::size_t end = line.find_last_not_of(" \t\r");
      bool isEmpty = begin == std::string::npos || end < begin;
      out.Headers[name] = isEmpty ? "" : line.substr(begin, end - begin + 1);
    }
    return out;
  }

  bool fill() {
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                    Until - Clock::now())
                    .count();
    pollfd it{Fd, POLLIN, 0};
    if (left <= 0 || poll(&it, 1, int(left)) != 1)
      return false;
    char bytes[65536];
    ssize_t n = recv(Fd, bytes, sizeof bytes, 0);
    if (n <= 0)
      return false;
    Buffer.append(bytes, std::size_t(n));
    return true;
  }

  bool readCounted(Message &out, bool isResponse) {
    std::string length = out.header("content-length");
    if (length.empty())
      return !isResponse || out.Start.find(" 204") != std::string::npos;
    std::size_t want = std::stoull(length);
    out.BodyBytes = want;
    while (want > 0) {
      if (Buffer.empty() && !fill())
        return false;
      std::size_t n = std::min(want, Buffer.size());
      if (out.Body.size() < 65536)
        out.Body += Buffer.substr(0, n);
      Buffer.erase(0, n);
      want -= n;
    }
    return true;
  }

  bool readChunks(Message &out) {
    while (true) {
      std::size_t end = 0;
      while ((end = Buffer.find("\r\n")) == std::string::npos)
        if (!fill())
          return false;
      std::size_t n = std::stoull(Buffer.substr(0, end), nullptr, 16);
      while (Buffer.size() < end + 2 + n + 2)
        if (!fill())
          return false;
      out.Body += Buffer.substr(end + 2, n);
      out.BodyBytes += n;
      Buffer.erase(0, end + 2 + n + 2);
      if (n == 0)
        return true;
    }
  }

  int Fd;
  Clock::time_point Until = Clock::time_point::max();
  std::string Buffer;
};

std::string answer(const std::string &status, const std::string &headers,
                   const std::string &body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Clock::time_point in(int ms) {
  return Clock::now() + std::chrono::milliseconds(ms);
}

template <typename Handler> void acceptAll(int listener, Handler handler) {
  while (true) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    setNoDelay(fd);
    std::thread([fd, handler] {
      handler(fd);
      close(fd);
    }).detach();
  }
}

// The platform's store -----------------------------------------------------

struct Topic {
  std::vector<std::string> Records;
  std::map<std::string, std::pair<std::size_t, std::string>> Newest;
};

std::mutex StoreLock;
std::condition_variable StoreChanged;
std::map<std::string, Topic> Topics;

std::string bigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    out += char((value >> shift) & 0xff);
  return out;
}

std::string base64(const std::string &text) {
  constexpr const char *digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t value = 0;
    std::size_t n = std::min<std::size_t>(3, text.size() - i);
    for (std::size_t k = 0; k < 3; ++k)
      value = (value << 8) | (k < n ? std::uint8_t(text[i + k]) : 0);
    for (std::size_t k = 0; k < 4; ++k)
      out += k <= n ? digits[(value >> (18 - 6 * k)) & 63] : '=';
  }
  return out;
}

std::string query(const std::string &start, const std::string &name) {
  std::string target = start.substr(0, start.rfind(' '));
  for (std::size_t at = target.find('?'); at != std::string::npos;
       at = target.find('&', at + 1))
    if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
      std::size_t begin = at + 2 + name.size();
      return target.substr(begin, target.find('&', begin) - begin);
    }
  return "";
}

/// Appends the records of a body; each has four bytes of length.
std::string appendTo(Topic &topic, const std::string &body) {
  std::size_t first = topic.Records.size();
  for (std::size_t at = 0; at + 4 <= body.size();) {
    std::size_t n = 0;
    for (int i = 0; i < 4; ++i)
      n = n << 8 | std::uint8_t(body[at + std::size_t(i)]);
    std::string content = body.substr(at + 4, n);
    std::size_t keyBytes = content.empty() ? 0 : std::uint8_t(content[0]);
    std::string key = content.substr(std::min<std::size_t>(1, n), keyBytes);
    std::string value = content.substr(std::min(n, 1 + keyBytes));
    if (value.empty())
      topic.Newest.erase(key);
    else
      topic.Newest[key] = {topic.Records.size(), value};
    topic.Records.push_back(body.substr(at, 4 + n));
    at += 4 + n;
  }
  return "{\"offset\":" + std::to_string(first) +
         ",\"end_offset\":" + std::to_string(topic.Records.size()) + "}";
}

std::string newestOf(const Topic &topic) {
  std::string items;
  for (const auto &[key, value] : topic.Newest)
    items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key +
             "\",\"value\":\"" + base64(value.second) +
             "\",\"offset\":" + std::to_string(value.first) + "}";
  return "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" +
         std::to_string(topic.Records.size()) + "}";
}

std::string readFrom(const Message &request, const std::string &topic,
                     std::unique_lock<std::mutex> &lock) {
  std::size_t from = std::stoull(query(request.Start, "start_key"));
  std::string wait = query(request.Start, "wait_ms");
  StoreChanged.wait_for(
      lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait)),
      [&] { return Topics[topic].Records.size() > from; });
  const auto &records = Topics[topic].Records;
  std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
  for (std::size_t i = from; i < records.size(); ++i)
    body += records[i];
  return body;
}

std::string serveStore(const Message &request) {
  std::unique_lock lock(StoreLock);
  std::string topic = query(request.Start, "topic");
  const std::string headers = "Store-Era: 1\r\n";
  if (request.Start.find(" /log-append") != std::string::npos) {
    std::string body = appendTo(Topics[topic], request.Body);
    StoreChanged.notify_all();
    return answer("200 OK", headers, body);
  }
  if (request.Start.find(" /log-newest") != std::string::npos)
    return answer("200 OK", headers, newestOf(Topics[topic]));
  if (request.Start.find(" /log-read") != std::string::npos)
    return answer("200 OK", headers, readFrom(request, topic, lock));
  return answer("404 Not Found", headers, "{}");
}

int runStore() {
  acceptAll(listenAt(option("listen", "")), [](int fd) {
    Reader reader(fd);
    while (auto request = reader.next(false))
      if (!sendAll(fd, serveStore(*request)))
        return;
  });
  return 0;
}

/// Writes the operator's configuration, read from a file.
int runOperator() {
  std::ifstream file(option("config", ""));
  std::stringstream config;
  config << file.rdbuf();
  std::string content = char(6) + std::string("config") + config.str();
  std::string body = bigEndian(content.size(), 4) + content;
  int fd = connectTo(option("to", ""));
  Reader reader(fd);
  reader.setLimit(in(2000));
  bool isSent =
      fd >= 0 &&
      sendAll(fd, "POST /log-append?topic=keyed.op&part=0 HTTP/1.1\r\nHost: "
                  "store\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
  auto reply = isSent ? reader.next(true) : std::nullopt;
  return reply && reply->Start.find(" 200") != std::string::npos ? 0 : 2;
}

// A server -----------------------------------------------------------------

std::mutex SlotLock;
std::condition_variable SlotFree;
int Running = 0;
int Waiting = 0;

/// Fault that the case has switched on, or an empty text.
std::string fault() {
  std::ifstream file(option("fault", ""));
  std::string text;
  file >> text;
  return text;
}

/// Returns false if the server is full.
bool takeSlot() {
  std::unique_lock lock(SlotLock);
  int slots = number("slots", 7);
  if (Running >= slots && Waiting >= number("queue", 72))
    return false;
  ++Waiting;
  SlotFree.wait(lock, [&] { return Running < slots; });
  --Waiting;
  ++Running;
  return true;
}

void freeSlot() {
  std::lock_guard lock(SlotLock);
  --Running;
  SlotFree.notify_one();
}

std::string loadHeader() {
  std::lock_guard lock(SlotLock);
  return "Server-Load: " + std::to_string(Running) + "," +
         std::to_string(Waiting) + "," + option("slots", "7") + "\r\n";
}

/// Works on a request; returns false if its connection is closed meanwhile.
bool work(int fd, int ms) {
  auto end = in(ms);
  while (Clock::now() < end) {
    pollfd it{fd, POLLRDHUP, 0};
    if (poll(&it, 1, 5) == 1 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR)))
      return false;
  }
  return true;
}

/// Sends bytes that are no answer until the caller closes, at most so many
/// megabytes a second over all connections of this server.
void sendWithoutEnd(int fd, const std::string &head) {
  static std::atomic<std::int64_t> sent = 0;
  static const Clock::time_point begin = Clock::now();
  std::string piece(65536, 'a');
  if (!sendAll(fd, head))
    return;
  while (sendAll(fd, piece)) {
    sent += std::int64_t(piece.size());
    auto allowed = [] {
      std::chrono::duration<double> time = Clock::now() - begin;
      return std::int64_t(time.count() * number("mb-s", 125) * 1e6);
    };
    if (allowed() - sent > 1'000'000)
      sent = allowed() - 1'000'000;
    while (sent > allowed())
      sleepMs(1);
  }
}

/// Time that a request takes: the number after "/w" in its path, if there is
/// one.
int workTime(const Message &request) {
  std::size_t at = request.Start.find("/w");
  return at == std::string::npos ? number("work-ms", 200)
                                 : std::atoi(request.Start.c_str() + at + 2);
}

/// What follows the first headers of an answer that has no end.
std::string endlessPart(const std::string &mode) {
  if (mode == "endless-head")
    return "X-Long: ";
  if (mode == "endless-chunk")
    return "Transfer-Encoding: chunked\r\n\r\n1;";
  if (mode == "endless-trailer")
    return "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ";
  return "\r\n";
}

bool serveRequest(int fd, const Message &request) {
  std::string id = request.header("attempt-id");
  std::string own = option("id", "");
  std::string headers = "Attempt-Id: " + id + "\r\n" + loadHeader();
  if (request.header("expected-instance") != own)
    return sendAll(fd, answer("421 Misdirected Request",
                              "Instance-Id: " + own + "\r\n" + headers, ""));
  if (!takeSlot())
    return sendAll(fd, answer("503 Service Unavailable",
                              "Not-Executed: 1\r\n" + headers, ""));
  record("run " + own + " " + id + " " +
         request.Start.substr(0, request.Start.rfind(' ')) + " " +
         std::to_string(request.BodyBytes));
  std::string signature = "Response-Signature: " + own + "." + id + "\r\n";
  std::string mode = fault();
  bool isKept = false;
  if (mode.starts_with("endless")) {
    sendWithoutEnd(fd, "HTTP/1.1 200 OK\r\n" + headers + signature +
                           endlessPart(mode));
  } else if (work(fd, workTime(request))) {
    isKept = sendAll(fd, answer("200 OK", headers + signature, own));
    record("done " + own + " " + id);
  } else {
    record("dropped " + own + " " + id);
  }
  freeSlot();
  return isKept;
}

const std::int64_t Born = wallMs();

std::string heartbeatBody(int sequence) {
  return "{\"service\":\"" + option("service", "") + "\",\"address\":\"" +
         option("listen", "") + "\",\"zone\":\"" + option("zone", "z-a") +
         "\",\"version\":\"v1\",\"slots\":" + option("slots", "7") +
         ",\"state\":\"ready\",\"cold_remaining_s\":0,\"born\":" +
         std::to_string(Born) + ",\"sequence\":" + std::to_string(sequence) +
         "}";
}

/// Calls the node on this machine; true if it acknowledges within a second.
bool callControl(const std::string &call, const std::string &body) {
  int fd = connectTo(option("control", ""));
  if (fd < 0)
    return false;
  Reader reader(fd);
  reader.setLimit(in(1000));
  sendAll(fd, "POST /rpc?call=instances." + call + "&of=" + option("id", "") +
                  " HTTP/1.1\r\nHost: node\r\nContent-Type: "
                  "application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
  auto reply = reader.next(true);
  close(fd);
  return reply && reply->Start.find(" 200") != std::string::npos;
}

/// Leaves without having been draining. A heartbeat that was sent just before
/// is delivered late, as by a slow network, after a time that the case sets.
void leave(int sequence) {
  std::string delayed = heartbeatBody(sequence);
  record("leave " + option("id", "") + " heartbeat sent, on its way");
  std::string body = "{\"born\":" + std::to_string(Born) + "}";
  while (!callControl("deregister", body))
    sleepMs(200);
  record("leave " + option("id", "") + " acknowledged");
  sleepMs(number("late-ms", 2500));
  while (!callControl("heartbeat", delayed))
    sleepMs(50);
  record("leave " + option("id", "") + " late heartbeat delivered");
  sleepMs(number("stay-ms", 9500));
  record("leave " + option("id", "") + " exits");
  std::_Exit(0);
}

void sendHeartbeats() {
  for (int sequence = 1;; ++sequence) {
    if (fault() == "leave")
      leave(sequence);
    bool isAcknowledged = callControl("heartbeat", heartbeatBody(sequence));
    sleepMs(isAcknowledged ? 1500 : 200);
  }
}

int runServer() {
  int listener = listenAt(option("listen", ""));
  std::thread(sendHeartbeats).detach();
  acceptAll(listener, [](int fd) {
    Reader reader(fd);
    while (auto request = reader.next(false))
      if (!serveRequest(fd, *request))
        return;
  });
  return 0;
}

// Clients ------------------------------------------------------------------

std::atomic<int> Attempts = 0;

/// Sends one request; returns false if the connection cannot be used again.
bool callOnce(int fd, Reader &reader, bool isKeptBefore) {
  std::string id = option("prefix", "c") + "-" + std::to_string(++Attempts);
  int deadline = number("deadline-ms", 10'000);
  std::size_t bytes = std::stoull(option("body-bytes", "0"));
  std::string method = option("method", "GET");
  std::string head = method + " " + option("path", "/") +
                     " HTTP/1.1\r\nHost: " + option("host", "h.example") +
                     "\r\nAttempt-Id: " + id +
                     "\r\nRemaining-Milliseconds: " + std::to_string(deadline) +
                     "\r\n";
  if (method == "POST")
    head += "Content-Length: " + std::to_string(bytes) + "\r\n";
  record("sent " + id + " " + method + " " + option("path", "/") + " " +
         std::to_string(bytes) + (isKeptBefore ? " kept" : " new"));
  reader.setLimit(in(deadline));
  bool isSent = sendAll(fd, head + "\r\n");
  const std::string piece(65536, 'b');
  for (std::size_t left = bytes; isSent && left > 0;) {
    std::size_t n = std::min(left, piece.size());
    isSent = sendAll(fd, std::string_view(piece).substr(0, n));
    left -= n;
  }
  auto reply = reader.next(true);
  if (!reply) {
    record("closed " + id + (isSent ? " sent-whole" : " cut-while-sending"));
    return false;
  }
  std::string status = reply->Start.substr(9, 3);
  record("answer " + id + " " + status + " " +
         std::to_string(reply->BodyBytes) + " " +
         (reply->header("response-signature").empty() ? "unsigned" : "signed"));
  return reply->header("connection") != "close";
}

void keepCalling(Clock::time_point until) {
  int fd = -1;
  std::optional<Reader> reader;
  bool isKept = false;
  for (int left = number("requests", 1'000'000);
       left > 0 && Clock::now() < until; --left) {
    if (fd < 0) {
      fd = connectTo(option("to", ""));
      isKept = false;
      if (fd < 0) {
        sleepMs(100);
        continue;
      }
      reader.emplace(fd);
    }
    auto next = in(number("every-ms", 0));
    if (callOnce(fd, *reader, isKept)) {
      isKept = true;
    } else {
      close(fd);
      fd = -1;
    }
    sleepMs(number("gap-ms", 50));
    std::this_thread::sleep_until(next);
  }
}

int runClient() {
  auto until = in(number("for-ms", 10'000));
  std::vector<std::thread> all;
  for (int i = 0; i < number("threads", 1); ++i)
    all.emplace_back(keepCalling, until);
  for (std::thread &it : all)
    it.join();
  return 0;
}

// The platform's care for a process ----------------------------------------

std::atomic<bool> IsStopping = false;

/// Anonymous memory of a process in kB: what it has allocated and touched.
long anonymousKb(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  std::string line;
  while (std::getline(file, line))
    if (line.starts_with("RssAnon:"))
      return std::stol(line.substr(8));
  return 0;
}

pid_t startProcess(char **command) {
  pid_t process = fork();
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = open(option("log", "/dev/null").c_str(),
                   O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    execv(command[0], command);
    _exit(127);
  }
  return process;
}

/// Waits for the end of a process and kills it if it exceeds its memory.
void watchProcess(pid_t process) {
  const std::string name = option("name", "");
  const long limit = number("memory-mb", 260) * 1024L;
  long most = 0;
  int status = 0;
  while (waitpid(process, &status, WNOHANG) == 0) {
    long used = anonymousKb(process);
    most = std::max(most, used);
    if (used > limit) {
      record("machine " + name + " uses " + std::to_string(used / 1024) +
             " MB, more than memory_mb: killed");
      kill(process, SIGKILL);
      waitpid(process, &status, 0);
      return;
    }
    if (IsStopping) {
      kill(process, SIGKILL);
      waitpid(process, &status, 0);
      record("machine " + name + " stopped by the case, at most " +
             std::to_string(most / 1024) + " MB");
      return;
    }
    sleepMs(5);
  }
  record("machine " + name + " ended by itself, status " +
         std::to_string(status));
}

int runMachine(char **command) {
  signal(SIGTERM, [](int) { IsStopping = true; });
  while (!IsStopping) {
    pid_t process = startProcess(command);
    record("machine " + option("name", "") + " started " +
           std::to_string(process));
    watchProcess(process);
    for (int ms = 0; ms < number("restart-ms", 1000) && !IsStopping; ms += 100)
      sleepMs(100);
  }
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  signal(SIGPIPE, SIG_IGN);
  int at = 2;
  for (; at + 1 < argc && std::string_view(argv[at]).starts_with("--") &&
         std::string_view(argv[at]) != "--";
       at += 2)
    Options[argv[at] + 2] = argv[at + 1];
  std::string role = argc > 1 ? argv[1] : "";
  if (role == "store")
    return runStore();
  if (role == "operator")
    return runOperator();
  if (role == "server")
    return runServer();
  if (role == "client")
    return runClient();
  if (role == "machine" && at + 1 < argc)
    return runMachine(argv + at + 1);
  std::cerr << "usage: standin store|operator|server|client|machine ...\n";
  return 2;
}
