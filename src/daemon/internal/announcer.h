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
/// Safeguard: an announcement that had taken and is gone was removed by those who gave this
/// instance up, and they refuse its incarnation from then on. Written again unchanged, a target
/// that was merely stopped or cut off would never serve again, and would keep flows that others
/// have opened since. It is written with a higher incarnation, and the owner begins anew with that.
class Announcer {
 public:
  /// The object's text for an incarnation.
  using Compose = std::function<std::string(base::Incarnation)>;
  /// The incarnation that a text names; 0 when it names none.
  using IncarnationOf = std::function<base::Incarnation(const std::string& text)>;
  struct Announced {
    base::Incarnation incarnation = 0;
    std::uint64_t revision = 0;
  };
  using OnAnnounced = std::function<void(const Announced&)>;

  struct Parts {
    std::string key;
    Compose compose;
    IncarnationOf incarnation_of;
    OnAnnounced on_announced;
  };

  Announcer(Runtime& runtime, Parts parts);

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

  Runtime& runtime;
  Parts parts;
  platform::ConditionalWriter writer;
  base::Incarnation incarnation;
  std::string written;
  bool writing = false;
  bool again = false;
  bool settled = false;
  bool withdrawn = false;
};

}  // namespace anvildrum::daemon
