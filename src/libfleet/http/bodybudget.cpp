#include "libfleet/http/bodybudget.h"

#include <numeric>
#include <utility>

namespace hickoryglade::fleet {

namespace {

/// Endpoints' responses keep the rest of the budget, since requests that run
/// cannot be completed without them.
constexpr std::size_t RequestShareDivisor = 2;

std::size_t counted(std::size_t bytes) {
  return bytes > BodyBudget::SmallBytes ? bytes : 0;
}

/// Bodies of other nodes cannot wait unread, as the others can, so they may
/// exceed the budget by half.
std::size_t limitOf(BodyUse use, std::size_t limit) {
  return use == BodyUse::Relayed ? limit + limit / 2 : limit;
}

} // namespace

// A single body is always admitted: it would otherwise never be, however long
// its sender waits.
bool BodyBudget::resize(BodyUse use, std::size_t from, std::size_t to) {
  from = counted(from);
  to = counted(to);
  if (from == to)
    return true;
  std::lock_guard lock(Lock);
  std::size_t &own = Used[std::size_t(use)];
  std::size_t sameUse = own - from;
  std::size_t all = std::accumulate(Used.begin(), Used.end(), std::size_t{0});
  bool isRequest = use == BodyUse::Request;
  bool isAlone = isRequest ? sameUse == 0 : all == from;
  bool hasShare = !isRequest || sameUse + to <= Limit / RequestShareDivisor;
  bool fits = isAlone || (hasShare && all - from + to <= limitOf(use, Limit));
  if (to > from && !fits)
    return false;
  own = sameUse + to;
  return true;
}

std::size_t BodyBudget::used() const {
  std::lock_guard lock(Lock);
  return std::accumulate(Used.begin(), Used.end(), std::size_t{0});
}

HeldBytes::HeldBytes(HeldBytes &&other) noexcept
    : Budget(std::move(other.Budget)), Use(other.Use),
      Bytes(std::exchange(other.Bytes, 0)) {}

HeldBytes &HeldBytes::operator=(HeldBytes &&other) noexcept {
  if (this == &other)
    return *this;
  resize(0);
  Budget = std::move(other.Budget);
  Use = other.Use;
  Bytes = std::exchange(other.Bytes, 0);
  return *this;
}

bool HeldBytes::resize(std::size_t bytes) {
  if (Budget && !Budget->resize(Use, Bytes, bytes))
    return false;
  Bytes = bytes;
  return true;
}

Body makeBody(std::string content, HeldBytes held) {
  struct HeldContent {
    std::string Content;
    HeldBytes Held;
  };
  auto it = std::make_shared<const HeldContent>(
      HeldContent{std::move(content), std::move(held)});
  return {it, &it->Content};
}

} // namespace hickoryglade::fleet
