/// Uneven regions near the slots of all of them; listed in KNOWN-RED.txt.
#include "spillregions.h"

#include <magnoliaspread/story.h>

using namespace magnoliaspread;
using namespace magnoliaspread::spilltest;
using namespace std::chrono_literals;

// Such waves when the mean demand is 84 in 100 of all slots.
STORY(waves_near_the_slots_of_all_regions) {
  spilling_regions Regions(Uneven, wave(28));
  Regions.run(90s, 12s);
  expectWithinBounds(Regions);
}
