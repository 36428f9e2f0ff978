#pragma once

#include "libfleet/base/asio.h"

#include <absl/status/status.h>

#include <string>

namespace hickoryglade::fleet {

/// Opens an acceptor and takes an address "IP:PORT" for it, without listening
/// yet.
absl::Status bindAddress(tcp::acceptor &acceptor, const std::string &address);

} // namespace hickoryglade::fleet
