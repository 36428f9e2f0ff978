#pragma once

#include <string>
#include <string_view>

namespace hickoryglade {

/// Digest of a caller's key, in hexadecimal. Settings hold digests instead of
/// keys, so that a key leaves neither its source nor the entry.
std::string keyDigest(std::string_view key);

/// True for a text that keyDigest() may have returned.
bool isKeyDigest(std::string_view text);

} // namespace hickoryglade
