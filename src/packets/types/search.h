#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "packets/types/packet.h"

namespace anvildrum::packets {

struct SearchPolicy {
  /// Number of agents at the head of a flow's rendezvous order that are queried first. Openings go
  /// to one of the first three of them, or to a later one while these are busy.
  std::size_t likely = 8;
  /// After this many consecutive searches that the likely agents did not end, all agents are
  /// queried at once for a while: many flows are probably lost, and one datagram covers 70 of them.
  std::size_t misses = 8;
  /// How long all agents are queried at once. A client retransmits its packet within 1.6 s.
  base::Duration all_at_once_for = base::milliseconds{1600};
  /// Query datagrams that a balancer sends per second. Together with as many answers they take 4 %
  /// of a core at 20 us each. Unknown flows that arrive in between share the next queries.
  std::size_t queries_per_second = 1000;
  /// An agent that has not answered for this long is queried once more. The time covers several
  /// round trips (3 ms) and the pause of an instance that has used up its CPU quota.
  base::Duration retry_after = base::milliseconds{40};
  /// A query to all agents waits this long for their answers. An agent that has not answered three
  /// queries by then is missing.
  base::Duration response_timeout = base::milliseconds{120};
  /// A target returns the packet of a flow that it does not hold within some milliseconds, but
  /// answers a packet of its own flow only after it has processed the request. If exactly one agent
  /// has not returned the packet after this time, the flow is presumed to be there.
  base::Duration return_timeout = base::milliseconds{40};
  /// How long to wait for a packet that was sent to agents which could not tell. A target returns
  /// it or answers within some milliseconds, unless its instance has used up its CPU quota. A
  /// client retransmits its packet after 200 ms, which begins another search.
  base::Duration probe_timeout = base::milliseconds{200};
  /// How long a search waits for the agents' records: a client's longest retransmission time-out.
  base::Duration records_timeout = base::milliseconds{1600};
  /// How long a packet is held for an agent that is away and may hold its flow. A restart of an
  /// agent takes less.
  base::Duration away_timeout = base::milliseconds{1000};
  /// How long it counts that a target has returned a packet of a flow: as long as clients keep a
  /// flow without a packet. The target cannot come to hold the flow, since it is open elsewhere.
  base::Duration denial_ttl = base::seconds{20};
  /// Maximum number of concurrent searches, 300 bytes each, so that a flood of forged flows does
  /// not exhaust the memory limit.
  std::size_t max_searches = 8'000;
};

enum class SearchStage : std::uint8_t {
  kDue,      ///< no agent has been queried yet
  kAsked,    ///< agents were queried
  kProbing,  ///< the flow's packet was sent to agents that could not tell
  /// No agent that answered holds the flow. The platform is asked whether the balancer knows all
  /// agents, or the flow waits for an agent that is away.
  kAwaitsAgents,
};

/// An agent and the service for whose flows it was queried. The agent's address may belong to
/// another service by now, whose targets must not receive these flows, so the stamp of a packet
/// names the queried service.
struct Candidate {
  Address agent = 0;
  base::ServiceId service;
};

/// Why a flow was neither found nor known to be lost. The flow's packets are dropped.
enum class SearchFailure : std::uint8_t {
  kNoTarget,       ///< no agent of the service is known
  kNoAnswer,       ///< an agent did not answer
  kUnsettled,      ///< agents and this balancer do not all know the same agents yet
  kAgentMissing,   ///< an agent whose target may hold the flow is missing
  kNoData,         ///< no data arrived; the flow may have closed normally
  kMayBeHeld,      ///< a target may hold the flow but did not answer
  kRecordsUnread,  ///< the platform did not say which agents there are
  kOtherService,   ///< a target of another service may hold the flow; its agent cannot tell
};

/// Short description of the failure for logs.
auto NameOf(SearchFailure failure) -> std::string_view;

/// What a reset of the flow lacks.
struct MissingPremise {
  SearchFailure reason = SearchFailure::kNoAnswer;
  Address agent = 0;  ///< first agent that caused it; 0: no single one
};

/// The search for a flow for which the balancer has no hint.
struct FlowSearch {
  SearchStage stage = SearchStage::kDue;
  base::TimePoint since{};         ///< when the packet arrived with which the search began
  base::TimePoint awaits_since{};  ///< when SearchStage::kAwaitsAgents began
  base::TimePoint asked_at{};      ///< when agents were last queried
  base::TimePoint asked_all_at{};  ///< when all agents of `services` were last queried
  bool awaits_records = false;     ///< it awaits a read of the agents' records
  /// What a reset lacked when the wait began, besides the records; an agent that comes is queried.
  std::optional<MissingPremise> awaited;
  base::TimePoint probed_at{};  ///< when SearchStage::kProbing began
  bool all_agents = false;      ///< all agents are queried; the likely ones if false
  /// A packet with data or a FIN arrived without a long delay, so its client expects an answer.
  bool expects_answer = false;
  std::uint32_t acknowledged = 0;         ///< acknowledgement number of the client's last packet
  std::vector<base::ServiceId> services;  ///< services that may hold the flow
  std::uint32_t round = 0;                ///< token of the QueryRound
  bool conclusive = false;                ///< while probing: no other agent may hold the flow
  bool disagrees = false;                 ///< an agent knows other agents than this balancer
  Address undecided = 0;                  ///< an agent that leaves the result open
  /// An agent whose target may hold the flow half open, so that its silence proves nothing.
  Address withheld = 0;
  std::vector<Candidate> probed;  ///< agents that have not returned the packet yet
  /// None of `services` is known to hold the flow; agents of other services are queried.
  bool elsewhere = false;
  /// What a reset lacked when `elsewhere` was set.
  std::optional<MissingPremise> missing;
};

/// A query that was sent to several agents, and their answers so far.
struct QueryRound {
  std::vector<FlowId> flows;
  std::vector<base::ServiceId> services;
  bool all_agents = false;
  bool elsewhere = false;        ///< the agents are of other services, see FlowSearch
  bool conclusive = false;       ///< by the answers so far, a flow that no target holds is lost
  Address undecided = 0;         ///< first agent whose answer leaves this open
  bool disagrees = false;        ///< an agent answered with the digest of other agents
  std::uint32_t digest = 0;      ///< digest of the agents that were queried
  std::vector<Address> missing;  ///< agents that have not answered, sorted
  std::vector<std::vector<Candidate>> unsure;  ///< may hold a flow, by index in `flows`
  base::TimePoint asked_at{};
  base::TimePoint sent_at{};
};

/// The agents whose targets have returned a packet of a flow.
struct Denials {
  std::vector<Address> agents;
  base::TimePoint at{};  ///< of the last one
};

struct Searches {
  std::unordered_map<FlowId, FlowSearch> flows;
  /// Of flows that a probe or a hint did not find, at most SearchPolicy::max_searches. Without it a
  /// target would receive a packet of another target's flow with each search.
  std::unordered_map<FlowId, Denials> denials;
  std::unordered_map<std::uint32_t, QueryRound> rounds;  ///< by token
  std::uint32_t last_token = 0;
  base::TimePoint next_query_at{};  ///< earliest time of the next query
  bool all_agents_next = false;     ///< if flows wait for both, all agents are queried next
  std::size_t misses = 0;           ///< consecutive searches that the likely agents did not end
  base::TimePoint all_at_once_until{};
};

/// Whether there are no searches and no open rounds.
inline auto IsIdle(const Searches& searches) -> bool {
  return searches.flows.empty() && searches.rounds.empty();
}

/// The flow was found; its packets go to this agent.
struct FlowFound {
  FlowId flow;
  Candidate holder;
};

/// Only the targets can tell whether they hold the flow; its first packet goes to each of these
/// agents.
struct FlowUnsure {
  FlowId flow;
  std::vector<Candidate> agents;
};

/// An agent that received the flow's first packet has not returned it, so the flow is presumed to
/// be there. That packet need not be sent again.
struct FlowPresumed {
  FlowId flow;
  Candidate holder;
};

/// No target holds the flow; the client is answered with a reset.
struct FlowLost {
  FlowId flow;
  std::uint32_t acknowledged = 0;  ///< acknowledgement number of the client's last packet
};

struct FlowNotFound {
  FlowId flow;
  SearchFailure reason = SearchFailure::kNoAnswer;
  Address agent = 0;  ///< first agent that caused the failure; 0: no single one
};

using SearchOutcome = std::variant<FlowFound, FlowUnsure, FlowPresumed, FlowLost, FlowNotFound>;

}  // namespace anvildrum::packets
