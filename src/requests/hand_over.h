#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/types/flow_key.h"
#include "requests/ledger.h"
#include "requests/requests.h"

/// A planned hand-over of a flow from a draining agent to another one: what has to survive. Of it,
/// an agent's stand-by keeps the observations, for the case that the agent is lost.
namespace anvildrum::requests {

/// An observation. The new owner registers it at its own target and goes on under the client's
/// token, with sequence numbers that go on rising (RFC 7641, 3.4).
struct HandedOverStream {
  Bytes request;               ///< the client's GET as it came last: has its token and message ID
  std::uint32_t sequence = 0;  ///< last one sent to the client, 24 bits
};

/// A finished request that a late copy could still repeat.
struct HandedOverRequest {
  Token token;
  std::uint16_t message_id = 0;
  bool was_challenged = false;
  Token challenged_token;  ///< of the request without Echo
  std::uint16_t challenged_message_id = 0;
  MessageType type = MessageType::kConfirmable;
  MethodClass method = MethodClass::kNonIdempotent;
  Stage stage = Stage::kUnknown;  ///< kAnswered, kRefused or kUnknown
  bool acknowledged = false;
  std::uint64_t content_digest = 0;
  base::Duration left{};  ///< until it may be forgotten
  Bytes answer;
};

struct FlowRecord {
  std::uint16_t next_client_message_id = 0;
  base::Duration quarantine_left{};  ///< of a flow that was itself taken over from a dead agent
  std::vector<HandedOverStream> streams;
  std::vector<HandedOverRequest> requests;
};

/// Ledger entries by flow, so that many flows are exported after one pass over the ledger.
using FlowLedgers = std::unordered_map<base::FlowKey, std::vector<std::uint64_t>>;
auto IndexLedger(const State& state) -> FlowLedgers;

/// The flow's record, or nothing while it cannot move: a request or transfer is in progress, a
/// challenge may still be answered, or an answer has not been acknowledged. The flow's state stays;
/// feed FlowClosed when the new owner has taken it. Between the two nothing of the client may be
/// fed for the flow.
auto ExportFlow(const State& state, const FlowLedgers& ledgers, const base::FlowKey& flow,
                base::TimePoint now) -> std::optional<FlowRecord>;

/// The observations of the flow that began by `until`, for its stand-by; without streams when there
/// is none.
auto ExportStreams(const State& state, const base::FlowKey& flow, base::TimePoint until)
    -> FlowRecord;

/// Changes when the stand-by's copy is out of date: by an observation more or less, by a refresh of
/// the client, and by every 2^20 steps of a sequence number and 2^14 message IDs. 0: no streams.
auto StreamsVersion(const State& state, const base::FlowKey& flow, base::TimePoint until)
    -> std::uint64_t;

/// Makes a stand-by's copy into the record to go on by: sequence numbers and message IDs continue
/// well above what the lost owner can have used since, and POSTs are quarantined.
auto ResumeAfterLoss(FlowRecord& record, base::Duration quarantine) -> void;

/// Whether the ledger has room for the record. A record that is taken anyway is taken whole.
auto HasRoomFor(const State& state, const FlowRecord& record) -> bool;

}  // namespace anvildrum::requests
