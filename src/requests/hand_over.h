#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/types/flow_key.h"
#include "requests/ledger.h"
#include "requests/requests.h"

/// Planned hand-over of a flow from a draining agent to another one, and the state that moves with
/// it. An agent's stand-by keeps the observations of that state in case the agent is lost.
namespace anvildrum::requests {

/// An observation. The new owner registers it at its own target and continues it under the client's
/// token, with increasing sequence numbers (RFC 7641, 3.4).
struct HandedOverStream {
  Bytes request;               ///< the client's latest GET, with its token and message ID
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
  base::Duration left{};  ///< until the entry expires
  Bytes answer;
};

struct FlowRecord {
  std::uint16_t next_client_message_id = 0;
  base::Duration quarantine_left{};  ///< of a flow that was itself taken over from a lost agent
  std::vector<HandedOverStream> streams;
  std::vector<HandedOverRequest> requests;
};

/// Ledger entries by flow. Built once, so that many flows are exported with one pass over the
/// ledger.
using FlowLedgers = std::unordered_map<base::FlowKey, std::vector<std::uint64_t>>;
auto IndexLedger(const State& state) -> FlowLedgers;

/// Returns the flow's record, or nothing while the flow cannot move: a request or transfer is in
/// progress, a challenge may still be answered, or an answer is not acknowledged yet. The flow's
/// state stays until FlowClosed, which follows when the new owner has accepted the flow. No
/// datagram of the client may be fed for the flow between the two.
auto ExportFlow(const State& state, const FlowLedgers& ledgers, const base::FlowKey& flow,
                base::TimePoint now) -> std::optional<FlowRecord>;

/// Returns the observations of the flow that began by `until`, for its stand-by. The record has no
/// streams if there are none.
auto ExportStreams(const State& state, const base::FlowKey& flow, base::TimePoint until)
    -> FlowRecord;

/// Returns a version that changes when the stand-by's copy is out of date: when an observation
/// begins, ends or is refreshed by the client, and every 2^20 sequence numbers and 2^14 message
/// IDs. Returns 0 if there are no streams.
auto StreamsVersion(const State& state, const base::FlowKey& flow, base::TimePoint until)
    -> std::uint64_t;

/// Prepares a stand-by's copy for continuing the flow. Sequence numbers and message IDs continue
/// above all that the lost owner can have used since, and POSTs are quarantined.
auto ResumeAfterLoss(FlowRecord& record, base::Duration quarantine) -> void;

/// Whether the ledger has room for the record. FlowAdopted imports a record completely, even if
/// there is no room.
auto HasRoomFor(const State& state, const FlowRecord& record) -> bool;

}  // namespace anvildrum::requests
