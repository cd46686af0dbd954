#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "packets/types/packet.h"

namespace anvildrum::packets {

struct SearchPolicy {
  /// Agents at the head of a flow's order that are asked first: openings are placed among the first
  /// three of them, and among more while these are busy.
  std::size_t likely = 8;
  /// Searches in a row that did not end at the likely agents, after which all are asked at once for
  /// a while: flows are lost, many of them, and one datagram asks an agent for 70.
  std::size_t misses = 8;
  /// How long after them: a client repeats its packet within 1.6 s.
  base::Duration all_at_once_for = base::milliseconds{1600};
  /// Datagrams a second that a balancer spends on asking agents: with as many answers, 4 % of a
  /// core at 20 us each. Flows that are unknown meanwhile are asked for together.
  std::size_t queries_per_second = 1000;
  /// An agent that has not answered for this long is asked once more: several ways there and back
  /// (3 ms), and a pause of an instance at its quota of processor time.
  base::Duration retry_after = base::milliseconds{40};
  /// Answers of all agents are awaited for this long: an agent that has been asked three times in
  /// vain is away.
  base::Duration response_timeout = base::milliseconds{120};
  /// A target gives back a packet of a flow that it does not hold within some milliseconds, and
  /// answers one of its own only when the request has been worked on. Where a single agent has
  /// given nothing back for this long, the flow is taken to be there.
  base::Duration return_timeout = base::milliseconds{40};
  /// A packet that was sent to agents which could not tell is awaited for this long. A target gives
  /// it back or answers within some milliseconds, unless its instance is at its quota. A client
  /// repeats its packet after 200 ms, and that begins another search.
  base::Duration probe_timeout = base::milliseconds{200};
  /// Searches at once, 300 bytes each: a flood of made-up flows must not end the process at its
  /// limit of memory.
  std::size_t max_searches = 8'000;
};

enum class SearchStage : std::uint8_t {
  kDue,      ///< agents are yet to be asked
  kAsked,    ///< agents were asked
  kProbing,  ///< its packet was sent to agents that could not tell
};

/// An agent, and the service for whose flows it was asked. Its address may serve another one by
/// now, whose targets must not see these flows: the stamp of a packet names this one.
struct Candidate {
  Address agent = 0;
  base::ServiceId service;
};

/// The search for a flow that the balancer does not remember.
struct FlowSearch {
  SearchStage stage = SearchStage::kDue;
  base::TimePoint probed_at{};  ///< begin of SearchStage::kProbing
  bool all_agents = false;      ///< all agents are asked; before that the likely ones
  /// A packet came with data or a FIN, and has not waited anywhere: its client waits for an answer.
  bool expects_answer = false;
  std::uint32_t acknowledged = 0;         ///< by the client's last packet
  std::vector<base::ServiceId> services;  ///< that may hold it
  std::uint32_t round = 0;                ///< QueryRound by token
  bool conclusive = false;                ///< while probing: no other agent may hold it
  Address inconclusive_agent = 0;         ///< an agent that keeps it from being proved
  Address withheld = 0;  ///< an agent whose target may hold it half open: it proves nothing there
  std::vector<Candidate> probed;  ///< agents that have not given its packet back yet
};

/// One query to several agents.
struct QueryRound {
  std::vector<FlowId> flows;
  std::vector<base::ServiceId> services;
  bool all_agents = false;
  bool conclusive = false;         ///< as far as answered: a flow that nobody holds is lost
  Address inconclusive_agent = 0;  ///< the first agent whose answer kept it from that
  std::uint32_t digest = 0;        ///< of the agents that were asked
  std::vector<Address> missing;    ///< have not answered; in order
  std::vector<std::vector<Candidate>> unsure;  ///< may hold a flow, by place in `flows`
  base::TimePoint asked_at{};
  base::TimePoint sent_at{};
};

struct Searches {
  std::unordered_map<FlowId, FlowSearch> flows;
  std::unordered_map<std::uint32_t, QueryRound> rounds;  ///< by token
  std::uint32_t last_token = 0;
  base::TimePoint next_query_at{};  ///< when agents may be asked again
  bool all_agents_next = false;     ///< all agents come next, where flows wait for both
  std::size_t misses = 0;           ///< searches in a row that the likely agents did not end
  base::TimePoint all_at_once_until{};
};

/// Whether there is anything to step.
inline auto IsIdle(const Searches& searches) -> bool {
  return searches.flows.empty() && searches.rounds.empty();
}

/// The flow's packets go to this agent.
struct FlowFound {
  FlowId flow;
  Candidate holder;
};

/// Only the targets can tell: its packet goes to each of these agents.
struct FlowUnsure {
  FlowId flow;
  std::vector<Candidate> agents;
};

/// One of the agents that were sent the flow's packet has not given it back: it is taken to be
/// there, and has the packet.
struct FlowPresumed {
  FlowId flow;
};

/// No target holds the flow: answer with a reset.
struct FlowLost {
  FlowId flow;
  std::uint32_t acknowledged = 0;  ///< by the client
};

/// Not found, and not known to be lost: its packets are dropped.
enum class SearchFailure : std::uint8_t {
  kNoTarget,      ///< no agent of the service is known
  kNoAnswer,      ///< an agent did not answer
  kUnsettled,     ///< agents and this balancer do not all count the same agents yet
  kAgentMissing,  ///< an agent whose target may hold the flow is away
  kNoData,        ///< of a flow that has ended, perhaps in good order
  kMayBeHeld,     ///< a target may hold the flow and did not say so
};

/// For logs: a few words in place of the number.
auto NameOf(SearchFailure failure) -> std::string_view;

struct FlowNotFound {
  FlowId flow;
  SearchFailure reason = SearchFailure::kNoAnswer;
  Address agent = 0;  ///< the first that the reason is about; 0: none alone
};

using SearchOutcome = std::variant<FlowFound, FlowUnsure, FlowPresumed, FlowLost, FlowNotFound>;

}  // namespace anvildrum::packets
