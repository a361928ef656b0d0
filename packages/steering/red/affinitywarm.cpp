/// Warm runs that holders by demand lose against those by late answers; see
/// KNOWN-RED.txt.
#include "affinityload.h"

#include <magnoliaspread/story.h>

using namespace affinity_tests;

// Load: many objects, each asked for equally often or a few of them mostly, at
// two thirds of the warm capacity; spreading them costs no warm runs in the
// end.
STORY(affinity_keeps_the_part_of_warm_runs) {
  section("under even popularity", [] {
    checkAtMost("warm before and after",
                settled(today(), 350, evenly(80), 10000ms, 10000ms).warmPart(),
                settled({}, 350, evenly(80), 10000ms, 10000ms).warmPart());
  });
  section("under skewed popularity", [] {
    checkAtMost("warm before and after",
                settled(today(), 350, skewed(80), 10000ms, 10000ms).warmPart(),
                settled({}, 350, skewed(80), 10000ms, 10000ms).warmPart());
  });
  section("with no fewer answers in good time", [] {
    checkAtMost("good before and after",
                settled(today(), 350, evenly(80), 10000ms, 10000ms).goodPart(),
                settled({}, 350, evenly(80), 10000ms, 10000ms).goodPart());
  });
}
