#include "libfleet/http/endpointheaders.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace hickoryglade::fleet {

namespace {

/// Longer values are not read as numbers.
constexpr std::size_t MaxLimitBytes = 32;

/// Bytes of an unreadable value that are logged.
constexpr std::size_t MaxShownBytes = 64;

constexpr int LeastServerError = 500;

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view blanks = " \t";
  std::size_t begin = text.find_first_not_of(blanks);
  if (begin == std::string_view::npos)
    return {};
  return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

std::vector<std::string_view> valuesOf(const std::vector<HttpHeader> &headers,
                                       const std::string &name) {
  std::vector<std::string_view> all;
  if (name.empty())
    return all;
  for (const HttpHeader &it : headers)
    if (boost::beast::iequals(it.Name, name))
      all.push_back(trimmed(it.Value));
  return all;
}

} // namespace

std::optional<double> parseLimit(std::string_view text) {
  text = trimmed(text);
  bool isNumber = !text.empty() && text.size() <= MaxLimitBytes &&
                  text.find_first_not_of("0123456789.") == text.npos;
  if (!isNumber)
    return std::nullopt;
  double limit = 0;
  const char *end = text.data() + text.size();
  auto [at, ec] =
      std::from_chars(text.data(), end, limit, std::chars_format::fixed);
  if (ec != std::errc{} || at != end || !std::isfinite(limit))
    return std::nullopt;
  return limit;
}

EndpointHeaders readEndpointHeaders(const HttpDialect &dialect, int status,
                                    const std::vector<HttpHeader> &head) {
  EndpointHeaders out;
  auto leaving = valuesOf(head, dialect.LeavingHeader);
  out.Notice.IsLeaving = std::ranges::find(leaving, "1") != leaving.end();
  auto limits = valuesOf(head, dialect.LimitHeader);
  if (limits.empty()) {
    // An error page may come from a part of the endpoint that does not know of
    // the limit.
    out.Notice.IsLimitUnknown = status >= LeastServerError;
    return out;
  }
  bool isOneValue = std::ranges::all_of(
      limits, [&](std::string_view it) { return it == limits.front(); });
  out.Notice.Limit = isOneValue ? parseLimit(limits.front()) : std::nullopt;
  if (out.Notice.Limit)
    return out;
  out.Notice.IsLimitUnknown = true;
  out.BadLimit = isOneValue ? limits.front() : "several values";
  if (out.BadLimit.empty())
    out.BadLimit = "empty";
  out.BadLimit.resize(std::min(out.BadLimit.size(), MaxShownBytes));
  return out;
}

} // namespace hickoryglade::fleet
