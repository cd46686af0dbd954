#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon/internal/runtime.h"
#include "platform/conditional_writer.h"

namespace anvildrum::daemon {

/// Keeps one object at the platform as this instance wants it: writes it, settles lost answers,
/// writes it again when somebody took it away, deletes it at the end.
///
/// Safeguard: a clock that was set back gives a restarted instance a lower incarnation than the one
/// on record, and everyone would refuse it as stale for ever. The writer therefore reads first and
/// takes the higher of its own number and the recorded one plus one.
///
/// Safeguard: an instance that was stopped for long is given up, its record cleared and its
/// incarnation refused by everyone from then on. When it wakes it would announce the same one and
/// serve nobody again; it takes a new incarnation instead, as after a restart.
class Announcer {
 public:
  /// The object's text for an incarnation.
  using Compose = std::function<std::string(base::Incarnation)>;
  /// The incarnation that a text names; 0 when it names none.
  using IncarnationOf = std::function<base::Incarnation(const std::string& text)>;
  struct Announced {
    base::Incarnation incarnation = 0;
    std::uint64_t revision = 0;
    /// The record of an earlier incarnation was still there: it did not end by a drain, which
    /// deletes it.
    bool predecessor_lost = false;
  };
  using OnAnnounced = std::function<void(const Announced&)>;

  struct Parts {
    std::string key;
    Compose compose;
    IncarnationOf incarnation_of;
    OnAnnounced on_announced;
  };

  Announcer(Runtime& runtime, Parts parts);

  /// The instance serves under the record of its earlier process, of this revision, under
  /// an incarnation that starts from Incarnation(), see agent::RestartOf.
  ///
  /// Safeguard: when the record has gone or changed before the write, peers may have buried the
  /// incarnation with it; announced all the same, it would be refused by everyone for ever. The
  /// writer takes a new one.
  auto ServesUnder(base::Incarnation incarnation, std::uint64_t revision) -> void;

  /// What the next write would carry.
  auto Incarnation() const -> base::Incarnation;

  /// Writes now, also when nothing changed. Retries until it took.
  auto Announce() -> void;

  /// The relay says what is on record; nullptr: nothing. Writes again when it isn't ours.
  auto Recorded(const std::string* text) -> void;

  /// Deletes our own announcement, never a successor's, and calls back when settled either way.
  auto Withdraw(std::function<void()> done) -> void;

 private:
  auto Propose(const std::optional<platform::Object>& current) -> platform::WriteProposal;
  auto ProposeDelete(const std::optional<platform::Object>& current) -> platform::WriteProposal;
  auto Finish(const platform::WriteResult& result) -> void;
  auto StandsOn(const platform::Object& current) const -> bool;

  Parts parts;
  platform::ConditionalWriter writer;
  base::Incarnation incarnation;
  std::string written;
  bool writing = false;
  bool again = false;
  bool settled = false;
  bool withdrawn = false;
  bool predecessor_lost = false;
  std::optional<std::uint64_t> provisional;  ///< revision that it serves under
};

}  // namespace anvildrum::daemon
