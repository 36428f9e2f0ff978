#include "libfleet/base/address.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace hickoryglade::fleet {

std::optional<Address> parseAddress(const std::string &text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  std::string ip = text.substr(0, colon);
  boost::system::error_code ec;
  boost::asio::ip::make_address_v4(ip, ec);
  if (ec)
    return std::nullopt;
  std::uint16_t port = 0;
  const char *end = text.data() + text.size();
  auto [at, fault] = std::from_chars(text.data() + colon + 1, end, port);
  if (fault != std::errc{} || at != end || port == 0)
    return std::nullopt;
  return Address{std::move(ip), port};
}

} // namespace hickoryglade::fleet
