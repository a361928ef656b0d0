/// Demand that is uneven between regions, or moves between them, against the
/// slots of each region. No region's targets may be asked for more than they
/// have while another region has room, within a tenth, and at most 0.15 of a
/// region's requests may change their region in 2 s (RULES, SHIFT).
#include "spillregions.h"

#include <magnoliaspread/spillplan.h>
#include <magnoliaspread/story.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace magnoliaspread;
using namespace magnoliaspread::spilltest;
using namespace std::chrono_literals;

// A tenth of the slots in a region that sends a third of the load.
STORY(a_region_with_few_slots_and_equal_demand) {
  for (const double Use : {0.3, 0.6, 0.9}) {
    section("use of all slots " + std::to_string(Use), [&] {
      spilling_regions Regions(
          Uneven, [Use](std::size_t, double) { return Use * 100 / 3; });
      Regions.run(40s, 10s);
      expectWithinBounds(Regions);
      section("each region keeps what its slots bear", [&] {
        CPPUNIT_ASSERT(Regions.parts(0)[0] > 0.9);
        CPPUNIT_ASSERT(Regions.parts(1)[1] > 0.9);
        const spill_settings Settings;
        const double Bears =
            Settings.Fill * Settings.ReturnPart * Regions.Slots[2];
        CPPUNIT_ASSERT(Regions.parts(2)[2] * Use * 100 / 3 > 0.9 * Bears);
      });
    });
  }
}

// Even demand and slots: the parts are those without the plan.
STORY(even_regions_keep_their_fixed_parts) {
  spilling_regions Regions({30, 30, 30},
                           [](std::size_t, double) { return 12; });
  Regions.run(40s, 0s);
  for (std::size_t I = 0; I < 3; ++I)
    CPPUNIT_ASSERT(movedPart(Regions.fixed(I), Regions.parts(I)) == 0);
}

// Waves that reach the regions a third of a period apart.
STORY(waves_reach_one_region_after_the_other) {
  for (const double Mean : {15.0, 20.0})
    section("mean " + std::to_string(Mean), [&] {
      spilling_regions Regions(Uneven, wave(Mean));
      Regions.run(90s, 12s);
      expectWithinBounds(Regions);
    });
}

// A third of the messages between instances is lost.
STORY(waves_with_a_third_of_the_messages_lost) {
  spilling_regions Regions(Uneven, wave(20));
  Regions.Lost = 1.0 / 3;
  Regions.run(90s, 12s);
  expectWithinBounds(Regions);
}

// Such waves when the mean demand is 84 in 100 of all slots.
STORY(waves_near_the_slots_of_all_regions) {
  spilling_regions Regions(Uneven, wave(28));
  Regions.run(90s, 12s);
  expectWithinBounds(Regions);
}

// 80 in 100 callers of a region move to the one with few slots.
STORY(most_callers_of_a_region_move) {
  spilling_regions Regions(Uneven, [](std::size_t Region, double Seconds) {
    const double Moved = Seconds < 20 || Region == 1 ? 0 : 20;
    return Region == 0 ? 25 - Moved : 25 + Moved;
  });
  Regions.run(20s, 10s);
  section("the shift bound allows the new parts after some seconds", [&] {
    Regions.run(30s, 8s);
    expectWithinBounds(Regions);
  });
}

// All targets of a region come back cold and bear a third for some seconds.
STORY(targets_of_a_region_come_back_cold) {
  spilling_regions Regions(Uneven, [](std::size_t, double) { return 20; });
  Regions.run(20s, 10s);
  Regions.Slots[1] = 15;
  Regions.run(15s, 8s);
  section("and warm again", [&] {
    Regions.Slots[1] = 45;
    Regions.run(30s, 8s);
    expectWithinBounds(Regions);
    const spill_settings Settings;
    CPPUNIT_ASSERT(Regions.parts(1)[1] * 20 >
                   0.9 * Settings.Fill * Settings.ReturnPart * 45);
  });
}

// All targets of a region come back cold: the others take over within the
// stability window of four seconds.
STORY(cold_targets_are_relieved_within_four_seconds) {
  spilling_regions Regions(Uneven, [](std::size_t, double) { return 20; });
  Regions.run(20s, 10s);
  Regions.Slots[1] = 15;
  Regions.run(15s, 4s);
  expectWithinBounds(Regions);
}

// Two regions that need a third one's room no longer hear each other.
STORY(two_halves_of_a_cut_spill_into_a_third) {
  spilling_regions Regions({20, 20, 60}, [](std::size_t Region, double) {
    return Region == 2 ? 5 : 45;
  });
  Regions.run(20s, 15s);
  Regions.CutPair = true;
  section("each leaves the other its part of the room", [&] {
    Regions.run(60s, 0s);
    expectWithinBounds(Regions);
  });
  section("a half without targets has no part", [&] {
    Regions.Slots[1] = 0;
    Regions.WarmSlots[1] = 0;
    Regions.run(20s, 20s);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Regions.parts(0)[2]),
                           Regions.parts(0)[2] * 45 >= 0.9 * (45 - 0.8 * 20));
  });
}

// A region that exchanges no messages with the others.
STORY(a_region_is_cut_off) {
  spilling_regions Regions(Uneven, [](std::size_t, double) { return 25; });
  Regions.run(20s, 10s);
  const region_parts Before = Regions.parts(2);
  Regions.Cut = 2;
  section("it goes on with what it knows", [&] {
    Regions.run(10s, 0s);
    CPPUNIT_ASSERT(movedPart(Before, Regions.parts(2)) < 0.03);
    expectWithinBounds(Regions);
  });
  section("until that is too old, then with the fixed parts", [&] {
    Regions.run(30s, 30s);
    CPPUNIT_ASSERT(movedPart(Regions.fixed(2), Regions.parts(2)) < 0.03);
    CPPUNIT_ASSERT(Regions.MostMoved <= MaxShift);
  });
  section("the others send nothing more there", [&] {
    CPPUNIT_ASSERT(Regions.parts(0)[2] < 0.01);
    CPPUNIT_ASSERT(Regions.parts(1)[2] < 0.01);
  });
  section("healed, all are within their slots again", [&] {
    Regions.Cut.reset();
    Regions.run(30s, 12s);
    expectWithinBounds(Regions);
  });
}

// Two regions spill into the same third one.
STORY(two_regions_spill_into_a_third) {
  const std::vector<region_load> Regions{
      {true, 40, 30}, {true, 35, 30}, {true, 5, 60}};
  const spill_matrix Moves = planSpill(Regions, 0.6);
  const double Level = spillLevel(Regions, 0.6);
  section("in proportion to need", [&] {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(40 - Level * 30, Moves[0][2], 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(35 - Level * 30, Moves[1][2], 1e-9);
  });
  section("and never more than its room, for any load", [&] {
    std::mt19937_64 Random{7};
    std::uniform_real_distribution<double> Draw(0, 100);
    for (int Round = 0; Round < 2000; ++Round) {
      std::vector<region_load> Loads(2 + Random() % 7);
      for (region_load &Row : Loads)
        Row = {Random() % 8 != 0, Draw(Random), Draw(Random)};
      const double Bound = spillLevel(Loads, 0.6);
      const spill_matrix Plan = planSpill(Loads, 0.6);
      for (std::size_t To = 0; To < Loads.size(); ++To) {
        double Taken = 0;
        double Given = 0;
        for (std::size_t From = 0; From < Loads.size(); ++From) {
          Taken += Plan[From][To];
          Given += Plan[To][From];
        }
        if (!Loads[To].Known) {
          CPPUNIT_ASSERT(Taken == 0 && Given == 0);
          continue;
        }
        CPPUNIT_ASSERT(Loads[To].Demand + Taken - Given <=
                       Bound * Loads[To].Slots + 1e-6);
      }
    }
  });
}
