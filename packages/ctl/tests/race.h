/// Operators who edit one table concurrently through a platform that loses
/// answers, and loses or delays writes; replayed from a seed.
#ifndef MAGNOLIASPREAD_TESTS_RACE_H
#define MAGNOLIASPREAD_TESTS_RACE_H

#include "edit_session_p.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace magnoliaspread {

/// How the operators' tool writes; only the first one is correct.
enum class race_tool : std::uint8_t {
  Session,
  /// Writes the edited table without a condition on its version.
  LastWriterWins,
  /// Treats a write without an answer as one that had no effect.
  BlindRetry,
};

struct race_settings {
  std::uint64_t Seed = 1;
  race_tool Tool = race_tool::Session;
  unsigned Operators = 6;
  unsigned EditsEach = 8;
  /// Fractions of the writes that each fault affects.
  double LostAnswers = 0.15;
  double LostWrites = 0.05;
  double LateWrites = 0.05;
};

struct race_report {
  /// The first violated rule; empty when there is none.
  std::string Fault;
  unsigned Succeeded = 0;
  unsigned Conflicts = 0;
  unsigned Unknown = 0;
  /// Successes that needed more than one write.
  unsigned Merged = 0;
};

race_report runRace(const race_settings &Settings);

} // namespace magnoliaspread

#endif
