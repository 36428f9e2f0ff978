#pragma once

#include <string>

namespace hickoryglade::testing {

/// Generates loopback addresses whose ports are free for TCP and UDP.
class FreeAddresses {
public:
  FreeAddresses();

  std::string next();

private:
  int NextPort;
};

} // namespace hickoryglade::testing
