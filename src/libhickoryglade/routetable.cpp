#include "libhickoryglade/routetable.h"

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

} // namespace

RouteTable::RouteTable(const SettingsTree &tree) {
  for (const auto &[path, node] : tree.Nodes) {
    if (settingsLevel(path) != SettingsLevel::Route || node.Value.is_null())
      continue;
    Route route = makeRoute(tree, path, node.Value);
    ByHost[route.Host].push_back(std::move(route));
  }
  for (auto &[host, routes] : ByHost)
    std::ranges::stable_sort(routes, std::ranges::greater{},
                             [](const Route &it) { return it.Prefix.size(); });
}

const Route *RouteTable::find(std::string_view host,
                              std::string_view target) const {
  host = host.substr(0, host.find(':'));
  auto byHost = ByHost.find(host);
  if (byHost == ByHost.end())
    return nullptr;
  auto it = std::ranges::find_if(byHost->second, [&](const Route &route) {
    return isPrefix(route.Prefix, target);
  });
  return it == byHost->second.end() ? nullptr : &*it;
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
