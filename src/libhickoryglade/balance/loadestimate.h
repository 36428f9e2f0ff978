#pragma once

#include "libhickoryglade/random.h"
#include "libhickoryglade/routerpolicy.h"

#include <span>
#include <vector>

namespace hickoryglade {

/// Mean share of busy slots over the gates of a service, from their latest
/// reports; newer reports and larger gates count for more. 0 without reports.
double meanBusyShare(std::span<const Candidate> candidates);

/// Expected share of busy slots of a gate: its latest report, faded towards the
/// mean with age, or this entry's outstanding requests if they are more.
double expectedBusyShare(const Candidate &it, double mean);

/// Draws up to n different candidates at random, weighted by their expected
/// number of free slots.
std::vector<std::size_t> drawByFreeSlots(std::span<const Candidate> candidates,
                                         std::vector<std::size_t> among,
                                         std::size_t n, Random &rng);

/// Gates whose loads are to be compared for a request; empty if fewer than two
/// of the candidates are healthy, without limits and may have a free slot.
std::vector<std::size_t> chooseCompared(std::span<const Candidate> candidates,
                                        const std::vector<std::size_t> &among,
                                        const RouteRequest &request,
                                        Random &rng);

} // namespace hickoryglade
