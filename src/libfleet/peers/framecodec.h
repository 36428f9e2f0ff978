#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hickoryglade::wire {
class Frame;
class Gossip;
} // namespace hickoryglade::wire

namespace hickoryglade::fleet {

/// Maximum length of a frame on a link, without its length prefix.
constexpr std::size_t MaxFrameBytes = 1024 * 1024;
constexpr std::size_t FramePrefixBytes = 4;

/// Frame with its length prefix, ready to be sent.
std::string encodeFrame(const wire::Frame &frame);

/// Decodes a frame without its prefix; returns nullopt for malformed bytes.
std::optional<wire::Frame> decodeFrame(std::string_view bytes);

/// Decodes the frame length in a prefix.
std::size_t prefixedLength(std::string_view prefix);

std::string encodeGossip(const wire::Gossip &gossip);
std::optional<wire::Gossip> decodeGossip(std::string_view bytes);

} // namespace hickoryglade::fleet
