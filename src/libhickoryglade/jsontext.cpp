#include "libhickoryglade/jsontext.h"

#include <nlohmann/json.hpp>

namespace hickoryglade {

namespace {

using nlohmann::json;

/// Copying, comparing and writing a value recurse once for each level.
constexpr int MaxDepth = 64;

constexpr std::int64_t MaxNatural = std::int64_t(1) << 53;

} // namespace

json parseJson(const std::string &text, JsonComments comments) {
  bool isTooDeep = false;
  auto isKept = [&](int depth, json::parse_event_t, const json &) {
    isTooDeep = isTooDeep || depth > MaxDepth;
    return depth <= MaxDepth;
  };
  json value =
      json::parse(text, isKept, false, comments == JsonComments::Ignored);
  return isTooDeep ? json(json::value_t::discarded) : value;
}

std::optional<std::int64_t> naturalNumber(const json &value) {
  if (!value.is_number_integer())
    return std::nullopt;
  bool isTooLarge = value.is_number_unsigned() &&
                    value.get<std::uint64_t>() > std::uint64_t(MaxNatural);
  if (isTooLarge || value.get<std::int64_t>() < 0)
    return std::nullopt;
  return value.get<std::int64_t>();
}

} // namespace hickoryglade
