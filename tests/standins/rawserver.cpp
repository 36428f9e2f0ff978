#include "standins/rawserver.h"

#include "libfleet/base/address.h"
#include "standins/standinserver.h"

#include <absl/strings/str_replace.h>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <map>
#include <mutex>

namespace hickoryglade::standins {

using namespace fleet;

namespace {

constexpr std::size_t MaxHeadBytes = 64 * 1024;
constexpr std::size_t ReadBytes = 64 * 1024;

std::string idOf(const std::string &head) {
  const std::string name = "\r\nAttempt-Id: ";
  std::size_t begin = head.find(name);
  if (begin == std::string::npos)
    return {};
  begin += name.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

void reset(tcp::socket &socket) {
  error_code ec;
  socket.set_option(asio::socket_base::linger(true, 0), ec);
  socket.close(ec);
}

} // namespace

struct RawServer::State {
  State(asio::io_context &io, tcp::endpoint at, RawScript script)
      : Acceptor(io, at), Script(std::move(script)) {}

  tcp::acceptor Acceptor;
  RawScript Script;
  std::mutex Mutex;
  std::map<std::string, int> Arrivals;
  std::size_t BodyBytes = 0;
};

RawServer::RawServer(asio::io_context &io, const std::string &address,
                     RawScript script) {
  auto parsed = parseAddress(address);
  tcp::endpoint at(asio::ip::make_address(parsed.value().Ip), parsed->Port);
  Shared = std::make_shared<State>(io, at, std::move(script));
  asio::co_spawn(io, acceptAll(Shared), asio::detached);
}

int RawServer::arrivals(const std::string &id) const {
  std::lock_guard lock(Shared->Mutex);
  auto it = Shared->Arrivals.find(id);
  return it == Shared->Arrivals.end() ? 0 : it->second;
}

std::size_t RawServer::bodyBytes() const {
  std::lock_guard lock(Shared->Mutex);
  return Shared->BodyBytes;
}

asio::awaitable<void> RawServer::acceptAll(std::shared_ptr<State> state) {
  while (true) {
    error_code ec;
    tcp::socket socket = co_await state->Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
      asio::co_spawn(state->Acceptor.get_executor(),
                     serve(state, std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> RawServer::serve(std::shared_ptr<State> state,
                                       tcp::socket socket) {
  error_code ec;
  std::string head;
  std::size_t n = co_await asio::async_read_until(
      socket, asio::dynamic_buffer(head, MaxHeadBytes), "\r\n\r\n",
      asio::redirect_error(asio::use_awaitable, ec));
  if (ec)
    co_return;
  std::string id = idOf(head);
  {
    std::lock_guard lock(state->Mutex);
    ++state->Arrivals[id];
    state->BodyBytes += head.size() - n;
  }
  RawAnswer answer = state->Script(head);
  std::string bytes = absl::StrReplaceAll(answer.Bytes, {{"{id}", id}});
  co_await asio::async_write(socket, asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, ec));
  if (answer.EndAfter > Millis{0})
    co_await sleepFor(answer.EndAfter);
  if (answer.End == Ending::Reset)
    co_return reset(socket);
  socket.shutdown(tcp::socket::shutdown_send, ec);
  if (answer.End == Ending::HalfCloseThenReset)
    co_return reset(socket);
  std::string buf(ReadBytes, '\0');
  while (!ec) {
    n = co_await socket.async_read_some(
        asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
    std::lock_guard lock(state->Mutex);
    state->BodyBytes += n;
  }
}

} // namespace hickoryglade::standins
