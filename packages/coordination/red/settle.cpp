/// Seeds after whose faults the fleet does not converge; see KNOWN-RED.txt.
#include "memberdrive.h"

#include <magnoliaspread/story.h>

#include <string>

using namespace magnoliaspread;

STORY(members_settle) {
  for (const std::uint64_t Seed : {34U, 64U, 107U})
    section("seed " + std::to_string(Seed),
            [&] { CPPUNIT_ASSERT(convergesAfterFaults(Seed)); });
}
