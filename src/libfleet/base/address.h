#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace hickoryglade::fleet {

/// An address "IP:PORT", parsed.
struct Address {
  std::string Ip;
  std::uint16_t Port = 0;

  bool operator==(const Address &) const = default;
};

/// Returns nothing unless the text is an IPv4 address and a port.
std::optional<Address> parseAddress(const std::string &text);

} // namespace hickoryglade::fleet
