#include "libfleet/http/responsehead.h"

#include "libfleet/http/httpmessage.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace hickoryglade::fleet {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// The parser ignores other codings than chunked. Nodes ask for none, and a
/// caller would not learn of it, since the field is hop-by-hop.
bool isTransferCoded(const http::fields &fields) {
  auto [begin, end] = fields.equal_range(http::field::transfer_encoding);
  return !std::all_of(begin, end, [](const auto &it) {
    return beast::iequals(it.value(), "chunked");
  });
}

} // namespace

error_code checkResponseHead(const http::response_header<> &head) {
  int status = int(head.result_int());
  if (!isInterimStatus(status) && !isFinalStatus(status))
    return http::make_error_code(http::error::bad_status);
  if (isTransferCoded(head))
    return http::make_error_code(http::error::bad_transfer_encoding);
  return {};
}

} // namespace hickoryglade::fleet
