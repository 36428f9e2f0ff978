#include "libfleet/base/listening.h"

#include "libfleet/base/address.h"

namespace hickoryglade::fleet {

absl::Status bindAddress(tcp::acceptor &acceptor, const std::string &address) {
  std::optional<Address> parsed = parseAddress(address);
  if (!parsed)
    return absl::InvalidArgumentError("not an address: " + address);
  tcp::endpoint at(asio::ip::make_address(parsed->Ip), parsed->Port);
  error_code ec;
  acceptor.open(at.protocol(), ec);
  if (!ec)
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    acceptor.bind(at, ec);
  if (ec)
    return absl::UnavailableError("cannot listen on " + address + ": " +
                                  ec.message());
  return absl::OkStatus();
}

} // namespace hickoryglade::fleet
