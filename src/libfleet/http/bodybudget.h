#pragma once

#include "libfleet/http/httpmessage.h"

#include <array>
#include <cstddef>
#include <memory>
#include <mutex>

namespace hickoryglade::fleet {

/// Where a body comes from.
enum class BodyUse {
  /// A caller's request.
  Request,
  /// An endpoint's response.
  Answer,
  /// Another node, which holds it whole.
  Relayed,
};

/// Bound on the bytes of long bodies that a process holds at a time, whichever
/// exchanges they belong to. Thread-safe.
class BodyBudget {
public:
  /// Bodies up to this length are neither counted nor refused, so that usual
  /// requests go on while long ones use up the budget.
  static constexpr std::size_t SmallBytes = 64 * 1024;

  /// Memory that is reserved for a body at most before its bytes arrive.
  static constexpr std::size_t MaxReservedBytes = 64 * 1024 * 1024;

  explicit BodyBudget(std::size_t limit) : Limit(limit) {}

  /// Changes the length of one body; returns false, and changes nothing, if
  /// there is no room for it.
  bool resize(BodyUse use, std::size_t from, std::size_t to);

  std::size_t used() const;

private:
  std::size_t Limit;
  mutable std::mutex Lock;
  /// Bytes by use.
  std::array<std::size_t, 3> Used{};
};

using BodyBudgetPtr = std::shared_ptr<BodyBudget>;

/// The bytes that one body takes from a budget, until it is destroyed.
class HeldBytes {
public:
  HeldBytes(BodyBudgetPtr budget, BodyUse use)
      : Budget(std::move(budget)), Use(use) {}
  HeldBytes(HeldBytes &&other) noexcept;
  HeldBytes &operator=(HeldBytes &&other) noexcept;
  HeldBytes(const HeldBytes &) = delete;
  HeldBytes &operator=(const HeldBytes &) = delete;
  ~HeldBytes() { resize(0); }

  /// Returns false, and keeps what is held, if the budget has no room.
  bool resize(std::size_t bytes);
  std::size_t bytes() const { return Bytes; }

private:
  BodyBudgetPtr Budget;
  BodyUse Use;
  std::size_t Bytes = 0;
};

/// Body whose bytes stay in the budget as long as it is shared.
Body makeBody(std::string content, HeldBytes held);

} // namespace hickoryglade::fleet
