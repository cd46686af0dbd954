#pragma once

#include <cstdint>

#include "base/types/time.h"
#include "packetd/adapter.h"
#include "packets/balancer.h"
#include "platform/client.h"

namespace anvildrum::packetd {

struct RecordReaderContext {
  std::uint64_t copy_revision = 0;  ///< of the copy of the records that is known; 0: none
  std::size_t balancers = 1;        ///< number of balancers that may read at the same time
  bool platform_answers = false;    ///< it answered any balancer lately
  base::Duration outage_turn{};     ///< longest wait between two calls while it does not
};

struct RecordReaderCounters {
  std::uint64_t reads = 0;
  std::uint64_t failed = 0;
};

/// Reads the agents' records from the platform itself while a search awaits them
/// (packets::TakeRecords). Only what has changed since the last known revision is read.
class RecordReader {
 public:
  /// All references have to outlive this object.
  RecordReader(platform::Client& client, const Adapter& adapter, packets::Balancer& core);

  /// Begins a read if one is due. Called at each step of the searches.
  auto Step(const RecordReaderContext& context, base::TimePoint now) -> void;

  RecordReaderCounters counters;

 private:
  auto Read(std::uint64_t after, base::TimePoint now) -> void;
  auto OnAnswer(const platform::Outcome<platform::Listing>& outcome, base::TimePoint began) -> void;

  platform::Client& client;
  const Adapter& adapter;
  packets::Balancer& core;
  bool pending = false;       ///< a call is in progress
  bool history_gone = false;  ///< the platform no longer has the changes; all records are read
  base::TimePoint next_at{};  ///< earliest time of the next call
  base::Duration retry_after{};
};

}  // namespace anvildrum::packetd
