#pragma once

#include "hickorygladectl/options.h"

namespace hickoryglade::ctl {

// Each returns the program's exit status.
int publish(const Options &options);
int get(const Options &options);
int validate(const Options &options);
int status(const Options &options);
int watch(const Options &options);
int explain(const Options &options);

} // namespace hickoryglade::ctl
