#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "base/types/flow_key.h"
#include "base/types/ids.h"
#include "base/types/time.h"
#include "requests/coap_message.h"
#include "requests/lifecycle.h"
#include "requests/types/counter.h"

namespace anvildrum::requests {

inline constexpr auto kNoDeadline = base::TimePoint::max();

/// Identifies a request by the client's message ID and token within a flow. `origin` is the agent
/// that handed the request on, or 0 for a client.
struct RequestIdentity {
  base::FlowKey flow;
  Token token;
  std::uint16_t message_id = 0;
  base::InstanceId origin;
  auto operator<=>(const RequestIdentity&) const = default;
};

struct RequestIdentityHash {
  auto operator()(const RequestIdentity& identity) const noexcept -> std::size_t;
};

/// One request. `id` is also its token at the target. It is unique within the incarnation, so that
/// a late answer is not taken for that of a later request with the same token of the client.
struct LedgerEntry {
  std::uint64_t id = 0;
  RequestIdentity identity;
  RequestIdentity challenged;  ///< of the request without Echo, if it was challenged
  MessageType type = MessageType::kConfirmable;
  MethodClass method = MethodClass::kSafe;
  Stage stage = Stage::kNew;
  bool was_challenged = false;
  bool acknowledged = false;  ///< the client has an empty ACK, and its answer is sent separately
  bool observe = false;       ///< asks for notifications
  bool admission_exempt =
      false;  ///< such as a later block of a transfer: never refused, holds no slot
  bool holds_slot = false;
  Counter refusal = Counter::kRefusedQueue;  ///< reason for offering it to another agent
  bool offer_confirmed = false;              ///< repeated with the other agent's Echo value
  std::uint8_t transmissions_left = 0;       ///< of the final answer, if it is a CON of the agent
  std::uint16_t target_message_id = 0;
  std::uint16_t client_message_id = 0;        ///< of the agent's last CON to the client
  std::uint16_t notification_message_id = 0;  ///< of the target's last notification
  std::uint32_t notification_sequence = 0;    ///< of the target's last notification
  /// Added to the target's sequence numbers for the client, modulo 2^24. Until the first answer of
  /// a target that took the stream over, this is the last number sent to the client.
  std::uint32_t sequence_offset = 0;
  bool sequence_offset_pending = false;  ///< the stream was taken over and has no answer yet
  bool awaits_ack = false;  ///< a separate answer, sent as a CON, is not acknowledged yet
  std::uint64_t content_digest = 0;
  std::uint64_t path_digest = 0;
  std::uint64_t echo_issue = 0;      ///< 0: none
  std::uint64_t origin_request = 0;  ///< id of a request handed on, at its origin
  base::TimePoint arrived;
  base::TimePoint started;
  base::TimePoint deadline;                       ///< for the wait in the queue or a hand-on
  base::TimePoint client_deadline = kNoDeadline;  ///< set by the client, also for the run
  base::TimePoint timer_due;                      ///< when the entry's timer is due; zero: none
  base::TimePoint notified;                       ///< when the last notification was forwarded
  base::TimePoint expires;                        ///< of an entry in a final stage
  Bytes request;                                  ///< kept while it may still have to be sent
  Bytes answer;  ///< as sent to the client; kept for retransmissions
};

/// All requests that are live or that a late copy could still repeat.
struct Ledger {
  std::unordered_map<std::uint64_t, LedgerEntry> entries;
  std::unordered_map<RequestIdentity, std::uint64_t, RequestIdentityHash> by_identity;
  std::unordered_map<std::uint64_t, std::uint64_t> by_echo;        ///< issue number -> entry
  std::deque<std::pair<base::TimePoint, std::uint64_t>> expiries;  ///< sorted by time
  std::size_t bytes = 0;
  std::uint64_t next_id = 0;  ///< even; see kIdStep
};

/// Ids are even. The odd number that follows an id names the second offer of the request to another
/// agent.
inline constexpr auto kIdStep = std::uint64_t{2};

/// Memory counted for an entry besides its request and answer: the entry, its two keys in the
/// indexes, and the nodes of these.
inline constexpr auto kLedgerEntryBytes = sizeof(LedgerEntry) + 2 * sizeof(RequestIdentity) + 200;

auto IsLive(Stage stage) -> bool;
auto FindRequest(Ledger& ledger, const RequestIdentity& identity) -> LedgerEntry*;
auto FindById(Ledger& ledger, std::uint64_t id) -> LedgerEntry*;
auto FindByEcho(Ledger& ledger, std::uint64_t issue) -> LedgerEntry*;

/// Whether `size` more bytes fit under `limit`.
auto HasRoom(const Ledger& ledger, std::size_t limit, std::size_t size) -> bool;

/// Inserts the entry and assigns its id. The caller has checked HasRoom.
auto InsertRequest(Ledger& ledger, LedgerEntry entry) -> LedgerEntry&;

/// Adds another identity of the request, from the answer to a challenge or the refresh of an
/// observation.
auto AddIdentity(Ledger& ledger, LedgerEntry& entry, const RequestIdentity& identity) -> void;

auto SetEcho(Ledger& ledger, LedgerEntry& entry, std::uint64_t issue) -> void;
auto SetRequestBytes(Ledger& ledger, LedgerEntry& entry, BytesView bytes) -> void;
auto SetAnswerBytes(Ledger& ledger, LedgerEntry& entry, Bytes bytes) -> void;

/// Keeps the entry, which is challenged or in a final stage, until `expires`.
auto KeepUntil(Ledger& ledger, LedgerEntry& entry, base::TimePoint expires) -> void;

auto EraseRequest(Ledger& ledger, std::uint64_t id) -> void;

/// Removes expired entries and calls `forgotten(entry)` before each removal.
template <typename Forgotten>
auto ExpireRequests(Ledger& ledger, base::TimePoint now, Forgotten&& forgotten) -> void {
  while (!ledger.expiries.empty() && ledger.expiries.front().first <= now) {
    auto id = ledger.expiries.front().second;
    ledger.expiries.pop_front();
    auto* entry = FindById(ledger, id);
    if (entry == nullptr || IsLive(entry->stage)) continue;
    if (entry->expires > now) continue;
    forgotten(*entry);
    EraseRequest(ledger, id);
  }
}

}  // namespace anvildrum::requests
