#pragma once

#include "libfleet/base/asio.h"

#include <boost/beast/http/message.hpp>

namespace hickoryglade::fleet {

/// Checks what the parser of Beast does not. Returns an error of Beast's HTTP
/// category, as the parser does, unless the head is that of a valid interim or
/// final response.
error_code checkResponseHead(const boost::beast::http::response_header<> &head);

} // namespace hickoryglade::fleet
