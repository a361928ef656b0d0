/// Operators who edit one table at once through a platform that loses
/// answers, delays writes and fails, replayed from a seed.
#ifndef MAGNOLIASPREAD_TESTS_RACE_H
#define MAGNOLIASPREAD_TESTS_RACE_H

#include "edit_session_p.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace magnoliaspread {

/// How the operators' tool works; only the first is right.
enum class race_tool : std::uint8_t {
  Session,
  /// Writes whatever it made from what it read, without a condition.
  LastWriterWins,
  /// Takes a write without an answer for one without effect.
  BlindRetry,
};

struct race_settings {
  std::uint64_t Seed = 1;
  race_tool Tool = race_tool::Session;
  unsigned Operators = 6;
  unsigned EditsEach = 8;
  /// Parts of the writes that meet each fault.
  double LostAnswers = 0.15;
  double LostWrites = 0.05;
  double LateWrites = 0.05;
};

struct race_report {
  /// The first broken rule; empty when all held.
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
