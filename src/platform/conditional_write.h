#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/types/time.h"
#include "platform/backoff.h"
#include "platform/types/object.h"

namespace anvildrum::platform {

enum class WriteIntent {
  kPut,
  kDelete,   ///< of an object that is not there: the same as kDone
  kDone,     ///< what the writer wants is there: its own mark, such as the patch's id
  kAbandon,  ///< somebody else's change makes the write senseless
};

struct WriteProposal {
  WriteIntent intent = WriteIntent::kAbandon;
  std::string value;  ///< JSON text for kPut
};

/// What to write in place of the current object, or of none. It has to know its own mark: it is
/// called again after each answer that left open whether the write took effect.
using Propose = std::function<WriteProposal(const std::optional<Object>& current)>;

enum class WriteVerdict {
  kTook,
  kNotTaken,  ///< it did not take effect and never will
  kUnknown,   ///< it may have taken effect, or may yet; the limits ended the search
};

struct WriteResult {
  WriteVerdict verdict = WriteVerdict::kUnknown;
  std::uint64_t revision = 0;     ///< of the object after the write, for kTook
  std::optional<Object> current;  ///< the object last read
  std::optional<PlatformError> last_error;
};

struct WritePolicy {
  BackoffPolicy backoff{base::milliseconds(100), base::seconds(2)};
  unsigned max_calls = 16;  ///< reads and writes
  base::Duration deadline = base::seconds(30);
};

/// A write by conditional update whose answer may be lost.
///
/// Safeguard: a write whose answer was lost may have taken effect, may take effect later, or never.
/// Repeating it blindly applies a patch twice; reporting the loss as a refusal tells the operator
/// that a change is not in force that is. Each attempt therefore carries the revision that was read
/// before it, and after every answer but a success the object is read again: `propose` finds its
/// mark, or the revision has moved on and the open attempt can never take effect, or the same
/// revision is tried again, of which at most one attempt can win.
struct ConditionalWrite {
  std::string key;
  Propose propose;
  WritePolicy policy;
  Backoff backoff;
  base::TimePoint started{};
  unsigned calls = 0;
  std::uint64_t newest = 0;         ///< newest revision of the store; older reads are refused
  std::uint64_t older_refused = 0;  ///< reads that were
  std::vector<Precondition> open;   ///< of attempts that may have taken effect, or may yet
  Precondition attempted;           ///< of the attempt in flight
  std::optional<Object> current;
  std::optional<PlatformError> last_error;
};

/// The answer of a list whose prefix is the key. A list rather than a get, because its revision
/// tells an absence of now from one of a replica that lags.
struct ReadAnswered {
  Outcome<Listing> outcome;
};
struct WriteAnswered {
  Outcome<std::uint64_t> outcome;  ///< the new revision; 0 for a deletion
};
struct WriteTimerFired {};
using WriteEvent = std::variant<WriteTimerFired, ReadAnswered, WriteAnswered>;

/// One call to send; exactly one of the members of WriteEffects is set after each step.
struct WriteCall {
  std::optional<std::string> value;  ///< nothing: delete
  Precondition precondition;
};
struct WriteEffects {
  bool read = false;
  std::optional<WriteCall> write;
  std::optional<base::Duration> wait;  ///< then WriteTimerFired
  std::optional<WriteResult> done;
};

auto MakeConditionalWrite(std::string_view key, Propose propose, const WritePolicy& policy,
                          std::uint64_t seed) -> ConditionalWrite;

/// Begins with the first read.
auto Begin(ConditionalWrite& write, base::TimePoint now) -> WriteEffects;

auto Step(ConditionalWrite& write, const WriteEvent& event, base::TimePoint now) -> WriteEffects;

}  // namespace anvildrum::platform
