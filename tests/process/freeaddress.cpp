#include "process/freeaddress.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickoryglade::testing {

namespace {

/// The range ends below the system's ephemeral ports, so that outgoing
/// connections do not occupy its ports.
constexpr int LowestPort = 10'000;
constexpr int PortRange = 20'000;
bool isFree(int port) {
  for (int type : {SOCK_STREAM, SOCK_DGRAM}) {
    int fd = socket(AF_INET, type, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int result =
        bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    close(fd);
    if (result != 0)
      return false;
  }
  return true;
}

} // namespace

FreeAddresses::FreeAddresses()
    : NextPort(LowestPort + (getpid() * 97) % PortRange) {}

std::string FreeAddresses::next() {
  do {
    NextPort = LowestPort + (NextPort + 1 - LowestPort) % PortRange;
  } while (!isFree(NextPort));
  return "127.0.0.1:" + std::to_string(NextPort);
}

} // namespace hickoryglade::testing
