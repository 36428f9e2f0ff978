#include "libhickoryglade/workspaces/keydigest.h"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace hickoryglade {

namespace {

constexpr std::size_t DigestBytes = crypto_generichash_BYTES_MIN;

/// Separates these digests from other uses of the same function.
constexpr std::string_view Context = "hickoryglade workspace key";

} // namespace

std::string keyDigest(std::string_view key) {
  auto bytesOf = [](std::string_view text) {
    return reinterpret_cast<const unsigned char *>(text.data());
  };
  std::array<unsigned char, DigestBytes> digest{};
  crypto_generichash(digest.data(), digest.size(), bytesOf(key), key.size(),
                     bytesOf(Context), Context.size());
  std::string hex(2 * DigestBytes + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  hex.pop_back();
  return hex;
}

bool isKeyDigest(std::string_view text) {
  return text.size() == 2 * DigestBytes &&
         std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

} // namespace hickoryglade
