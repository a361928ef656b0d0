/// Loads for which holders by demand miss their bounds; listed in
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

// Load: an object's requests are spread over many instances, each of which sees
// few of them; no target gets more than its fair part by more than the factor.
STORY(affinity_bounds_targets_of_many_instances) {
  for (const std::size_t Instances : {73, 108, 195})
    section(std::to_string(Instances) + " instances", [&] {
      load_shape Shape;
      Shape.Instances = Instances;
      Shape.Targets = 24;
      checkAtMost("busiest",
                  settled(Shape, 500, skewed(60), 8000ms, 6000ms).worstTarget(),
                  1.5);
    });
}
