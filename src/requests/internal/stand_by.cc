// The copy that an agent's stand-by keeps of a flow: its observations, without the ledger.
#include "requests/hand_over.h"
#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

// Safeguard: a client drops a notification that is not newer than the last one (RFC 7641, 3.4), and
// treats one with a recent message ID as a duplicate (RFC 7252, 4.5), so it would show no updates.
// The numbers in the copy lag behind those that the owner has sent. The copy is sent again before
// the lag reaches kReported.., and kResume.. is larger than that and less than half of the number
// range.
constexpr auto kReportedSequenceBits = 20U;
constexpr auto kResumeSequence = std::uint32_t{1} << 22;
constexpr auto kReportedMessageIdBits = 14U;
constexpr auto kResumeMessageId = std::uint16_t{1} << 15;

constexpr auto kMixer = 0x9e3779b97f4a7c15ULL;

auto Mix(std::uint64_t digest, std::uint64_t value) -> std::uint64_t {
  auto mixed = (digest ^ value) * kMixer;
  return mixed ^ (mixed >> 32U);
}

auto Mix(std::uint64_t digest, const Token& token) -> std::uint64_t {
  digest = Mix(digest, token.size);
  for (auto byte : token.bytes) digest = Mix(digest, byte);
  return digest;
}

auto VersionOf(std::uint64_t version, const LedgerEntry& entry) -> std::uint64_t {
  auto sent = StreamOf(entry).sequence;
  version = Mix(version, entry.content_digest);
  version = Mix(version, entry.identity.token);
  version = Mix(version, entry.identity.message_id);
  return Mix(version, sent >> kReportedSequenceBits);
}

template <typename Visit>
auto ForEachStream(const State& state, const FlowState& flow, base::TimePoint until, Visit&& visit)
    -> void {
  for (auto id : flow.live) {
    const auto& entry = state.ledger.entries.at(id);
    auto own = entry.identity.origin.value == 0;
    if (own && entry.stage == Stage::kObserving && entry.arrived <= until) visit(entry);
  }
}

}  // namespace

auto ExportStreams(const State& state, const base::FlowKey& key, base::TimePoint until)
    -> FlowRecord {
  auto record = FlowRecord{};
  auto flow = state.flows.find(key);
  if (flow == state.flows.end()) return record;
  record.next_client_message_id = flow->second.next_client_message_id;
  auto add = [&](const LedgerEntry& entry) { record.streams.push_back(StreamOf(entry)); };
  ForEachStream(state, flow->second, until, add);
  return record;
}

auto StreamsVersion(const State& state, const base::FlowKey& key, base::TimePoint until)
    -> std::uint64_t {
  auto flow = state.flows.find(key);
  if (flow == state.flows.end()) return 0;
  auto version = std::uint64_t{0};
  auto add = [&](const LedgerEntry& entry) { version = VersionOf(version, entry); };
  ForEachStream(state, flow->second, until, add);
  if (version == 0) return 0;
  return Mix(version, flow->second.next_client_message_id >> kReportedMessageIdBits) | 1U;
}

auto ResumeAfterLoss(FlowRecord& record, base::Duration quarantine) -> void {
  record.next_client_message_id += kResumeMessageId;
  record.quarantine_left = quarantine;
  for (auto& stream : record.streams) {
    // The next number sent is one higher.
    stream.sequence = (stream.sequence + kResumeSequence - 1) & kSequenceMask;
  }
}

}  // namespace anvildrum::requests
