#include "world/overload.h"

#include <cstdio>
#include <cstdlib>

/// Compares policies for placement, queue order and admission under overload on
/// virtual time, with the same arrivals from one seed for each combination.
///   overloadtable [SEED]

namespace {

using namespace hickoryglade;
using namespace hickoryglade::world;

struct Variant {
  const char *Name;
  const char *Router;
  QueueOrder Order;
  const char *Admission;
};

constexpr Variant Variants[] = {
    {"tickets, rank, by deadline", "tickets", QueueOrder::Priority, "deadline"},
    {"direct, rank, by deadline", "two_choices", QueueOrder::Priority,
     "deadline"},
    {"tickets, fair only, by deadline", "tickets", QueueOrder::Arrival,
     "deadline"},
    {"tickets, rank and time left, by deadline", "tickets",
     QueueOrder::TimeLeft, "deadline"},
    {"tickets, rank, by target", "tickets", QueueOrder::Priority, "target"},
    {"tickets, rank, by queue length", "tickets", QueueOrder::Priority,
     "queue_limit"},
};

} // namespace

int main(int argc, char **argv) {
  std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  std::printf("%-9s %-41s %-7s %8s %8s %8s %8s %8s %8s\n", "load", "way",
              "kind", "in time", "answered", "refused", "after50", "after99",
              "wasted");
  for (double load : {1.2, 2.0, 4.0})
    for (const Variant &variant : Variants) {
      Overload overload;
      overload.Kinds = defaultKinds();
      overload.PeakLoad = load;
      overload.Policy.Router = variant.Router;
      overload.Policy.Order = variant.Order;
      overload.Policy.Admission = variant.Admission;
      overload.Policy.LongSlotsPercent = 100;
      overload.Policy.TargetLatency = Millis(800);
      for (const OverloadFigures &it : runOverload(overload, seed))
        std::printf("%-9.1f %-41s %-7s %8.3f %8.3f %8.3f %8.1f %8.1f %8.3f\n",
                    load, variant.Name, it.Kind.c_str(), it.InTarget,
                    it.Answered, it.Refused, it.RefusalMs50, it.RefusalMs99,
                    it.Wasted);
    }
  return 0;
}
