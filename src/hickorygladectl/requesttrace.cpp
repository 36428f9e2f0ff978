#include "hickorygladectl/requesttrace.h"

#include <algorithm>
#include <array>
#include <set>

namespace hickoryglade::ctl {

namespace {

using nlohmann::json;

std::string textOf(const json &line, const char *key) {
  auto it = line.find(key);
  if (it == line.end())
    return "";
  return it->is_string() ? it->get<std::string>() : it->dump();
}

bool isLeadingField(const std::string &key) {
  constexpr std::array<std::string_view, 4> leading = {"time", "node", "event",
                                                       "level"};
  return std::ranges::find(leading, key) != leading.end();
}

} // namespace

void RequestTrace::read(std::istream &in) {
  std::string text;
  while (std::getline(in, text)) {
    // Log collectors often prefix a line with a time or a name.
    std::size_t begin = text.find('{');
    if (begin == std::string::npos)
      continue;
    json line = json::parse(text.substr(begin), nullptr, false);
    if (line.is_object() && line.contains("request"))
      All.push_back(std::move(line));
  }
}

std::vector<json> RequestTrace::lines() const {
  std::set<std::string> requests{Id};
  for (const json &it : All)
    if (textOf(it, "caller_id") == Id)
      requests.insert(textOf(it, "request"));
  std::vector<json> own;
  std::ranges::copy_if(All, std::back_inserter(own), [&](const json &it) {
    return requests.contains(textOf(it, "request"));
  });
  std::ranges::stable_sort(own, {},
                           [](const json &it) { return textOf(it, "time"); });
  return own;
}

std::string formatLine(const json &line) {
  std::string out = textOf(line, "time") + "  " + textOf(line, "node") + "  " +
                    textOf(line, "event");
  for (const auto &[key, value] : line.items())
    if (!isLeadingField(key))
      out += "  " + key + "=" + textOf(line, key.c_str());
  return out;
}

} // namespace hickoryglade::ctl
