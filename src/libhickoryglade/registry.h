#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickoryglade {

/// Registry of named policies of one kind. A policy is a plain struct of
/// function pointers; its plug-in registers it during static initialization.
template <typename Policy> class Registry {
public:
  static Registry &instance() {
    static Registry it;
    return it;
  }

  void add(std::string name, Policy policy) {
    Policies.insert_or_assign(std::move(name), policy);
  }

  /// Returns nullptr if no such policy has been registered.
  const Policy *find(std::string_view name) const {
    auto it = Policies.find(name);
    return it == Policies.end() ? nullptr : &it->second;
  }

  std::vector<std::string> names() const {
    std::vector<std::string> all;
    for (const auto &[name, policy] : Policies)
      all.push_back(name);
    return all;
  }

private:
  std::map<std::string, Policy, std::less<>> Policies;
};

/// Registers a policy. A plug-in defines one at namespace scope.
template <typename Policy> struct Registrar {
  Registrar(std::string name, Policy policy) {
    Registry<Policy>::instance().add(std::move(name), policy);
  }
};

} // namespace hickoryglade
