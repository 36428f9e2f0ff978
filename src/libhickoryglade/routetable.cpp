#include "libhickoryglade/routetable.h"

#include "libhickoryglade/hash.h"
#include "libhickoryglade/settingsschema.h"

#include <algorithm>
#include <numeric>

namespace hickoryglade {

namespace {

Route makeRoute(const SettingsTree &tree, const std::string &path,
                const nlohmann::json &value) {
  std::vector<std::string> names = splitSettingsPath(path);
  Route route{path,
              value["host"].get<std::string>(),
              value.value("prefix", "/"),
              value.value("workspace", names[0]),
              qualifiedService(names[0], names[1]),
              policyAt(tree, path),
              {}};
  auto split = value.find("split");
  if (split != value.end())
    for (const auto &[service, weight] : split->items())
      route.Split.push_back(
          {qualifiedService(names[0], service), weight.get<std::int64_t>()});
  return route;
}

/// "/a" matches "/a", "/a/b" and "/a?x", but not "/ab".
bool isPrefix(std::string_view prefix, std::string_view target) {
  if (!target.starts_with(prefix))
    return false;
  if (prefix.ends_with('/') || target.size() == prefix.size())
    return true;
  char next = target[prefix.size()];
  return next == '/' || next == '?';
}

/// Changes with a value and with the revision that set it.
std::uint64_t stampOf(const SettingsNode &node, std::uint64_t seed) {
  std::string text = std::to_string(node.Revision) + ' ' +
                     std::to_string(node.Hash) +
                     (node.Value.is_null() ? " removed" : "");
  return stableHash(text, seed);
}

/// Stamp of the settings that all routes below a path inherit.
std::uint64_t ancestorStamp(const SettingsTree &tree, const std::string &path) {
  std::uint64_t stamp = 0;
  for (const std::string &at : pathWithAncestors(path)) {
    auto it = tree.Nodes.find(at);
    if (it != tree.Nodes.end())
      stamp = stampOf(it->second, stamp);
  }
  return stamp;
}

bool isRoutePath(std::string_view path) {
  constexpr auto routeDepth = std::ptrdiff_t(SettingsLevel::Route);
  return std::ranges::count(path, '/') == routeDepth;
}

} // namespace

std::unordered_map<std::string_view, const RouteTable::Entry *>
RouteTable::byPath() const {
  std::unordered_map<std::string_view, const Entry *> all;
  for (const auto &[host, entries] : ByHost)
    for (const Entry &it : entries)
      all[it.Value->Path] = &it;
  return all;
}

RouteTable::RouteTable(const SettingsTree &tree, const RouteTable *previous) {
  auto known = previous ? previous->byPath() : decltype(previous->byPath()){};
  std::map<std::string, std::uint64_t, std::less<>> inherited;
  for (const auto &[path, node] : tree.Nodes) {
    if (!isRoutePath(path) || node.Value.is_null())
      continue;
    std::string_view service(path.data(), path.rfind('/'));
    auto at = inherited.find(service);
    if (at == inherited.end())
      at = inherited.emplace(service, ancestorStamp(tree, std::string(service)))
               .first;
    std::uint64_t stamp = stampOf(node, at->second);
    auto it = known.find(path);
    bool isSame = it != known.end() && it->second->Stamp == stamp;
    auto route =
        isSame
            ? it->second->Value
            : std::make_shared<const Route>(makeRoute(tree, path, node.Value));
    ByHost[route->Host].push_back({route, stamp});
  }
  for (auto &[host, entries] : ByHost)
    std::ranges::stable_sort(
        entries, std::ranges::greater{},
        [](const Entry &it) { return it.Value->Prefix.size(); });
}

const Route *RouteTable::find(std::string_view host,
                              std::string_view target) const {
  host = host.substr(0, host.find(':'));
  auto byHost = ByHost.find(host);
  if (byHost == ByHost.end())
    return nullptr;
  auto it = std::ranges::find_if(byHost->second, [&](const Entry &entry) {
    return isPrefix(entry.Value->Prefix, target);
  });
  return it == byHost->second.end() ? nullptr : it->Value.get();
}

std::size_t RouteTable::size() const {
  return std::accumulate(
      ByHost.begin(), ByHost.end(), std::size_t{0},
      [](std::size_t n, const auto &it) { return n + it.second.size(); });
}

std::string qualifiedService(std::string_view workspace,
                             std::string_view service) {
  return std::string(workspace) + "/" + std::string(service);
}

} // namespace hickoryglade
