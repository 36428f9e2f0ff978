#include "world/crest.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hickoryglade;
using namespace hickoryglade::world;

namespace {

/// Share of a kind's requests that a less urgent kind may be ahead.
constexpr double OrderSlack = 0.05;

/// Part of its target latency within which a caller is to hear of a refusal.
constexpr double PromptPart = 8;

Crest crestOf(double load) {
  Crest crest;
  crest.Kinds = usualKinds();
  crest.CrestLoad = load;
  crest.Policy.LongSlotsPercent = 100;
  return crest;
}

std::string loadName(double load) { return "load " + std::to_string(load); }

} // namespace

TEST_CASE("at a crest no kind is served behind a less urgent one", "[crest]") {
  for (double load : {1.2, 2.0, 4.0})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      INFO(loadName(load) << " seed " << seed);
      std::vector<CrestFigures> all = playCrest(crestOf(load), seed);
      for (std::size_t i = 1; i < all.size(); ++i)
        CHECK(all[i - 1].Answered >= all[i].Answered - OrderSlack);
    }
}

TEST_CASE("urgent work that fits into the slots is served through a crest",
          "[crest]") {
  // The urgent kind offers 15% of the work: at twice the capacity that is less
  // than a third of the slots.
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    std::vector<CrestFigures> all = playCrest(crestOf(2.0), seed);
    CHECK(all[0].InTarget >= 0.95);
  }
}

TEST_CASE("refusals at a crest are prompt and say when to come back",
          "[crest]") {
  for (double load : {2.0, 4.0})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      INFO(loadName(load) << " seed " << seed);
      std::vector<CrestKind> kinds = usualKinds();
      std::vector<CrestFigures> all = playCrest(crestOf(load), seed);
      for (std::size_t i = 0; i < all.size(); ++i) {
        INFO(all[i].Kind);
        if (all[i].Refused == 0)
          continue;
        CHECK(all[i].RefusalMs50 <= kinds[i].TargetMs / PromptPart);
        CHECK(all[i].Paying == 1);
      }
    }
}

TEST_CASE("slots at a crest go to requests that are answered", "[crest]") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    for (const CrestFigures &it : playCrest(crestOf(4.0), seed))
      CHECK(it.Wasted <= 0.01);
  }
}
