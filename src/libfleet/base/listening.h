#pragma once

#include "libfleet/base/asio.h"

#include <absl/status/status.h>

#include <string>

namespace hickoryglade::fleet {

/// Opens an acceptor and binds it to an address "IP:PORT", without listening
/// yet.
absl::Status bindAddress(tcp::acceptor &acceptor, const std::string &address);

} // namespace hickoryglade::fleet
