#include "libfleet/http/responsehead.h"

#include "libfleet/http/httpmessage.h"

#include <boost/beast/http/error.hpp>

namespace hickoryglade::fleet {

namespace http = boost::beast::http;

error_code checkResponseHead(const http::response_header<> &head) {
  int status = int(head.result_int());
  if (!isInterimStatus(status) && !isFinalStatus(status))
    return http::make_error_code(http::error::bad_status);
  return {};
}

} // namespace hickoryglade::fleet
