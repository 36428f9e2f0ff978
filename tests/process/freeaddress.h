#pragma once

#include <string>

namespace hickoryglade::testing {

/// Loopback addresses with ports that are free for TCP and UDP.
class FreeAddresses {
public:
  FreeAddresses();

  std::string next();

private:
  int NextPort;
};

} // namespace hickoryglade::testing
