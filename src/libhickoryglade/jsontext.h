#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace hickoryglade {

/// Whether a text may contain comments.
enum class JsonComments { Rejected, Ignored };

/// Parses JSON from another process. Returns a discarded value if the text is
/// malformed, or nested more deeply than anything that this library reads.
nlohmann::json parseJson(const std::string &text,
                         JsonComments comments = JsonComments::Rejected);

/// Reads an integer from 0 to 2^53, up to which all JSON writers agree; nothing
/// if the value is another number or no number.
std::optional<std::int64_t> naturalNumber(const nlohmann::json &value);

} // namespace hickoryglade
