#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "packets/drain.h"
#include "packets/types/place.h"
#include "packets/types/target.h"

namespace anvildrum::packets {

/// An agent as a balancer knows it.
struct Member {
  Address agent = 0;
  base::ServiceId service;
  bool listed = false;  ///< has a record at the platform
  base::TimePoint known_since{};
  base::TimePoint heard{};         ///< last report; the epoch: never
  base::TimePoint suspected_at{};  ///< given no opening until it reports; the epoch: not suspected
  base::TimePoint restarted_at{};  ///< first report of another start than before; the epoch: none
  base::TimePoint greeted_at{};    ///< last hello; the epoch: none yet
  base::TimePoint probed_at{};     ///< its machine was asked for a connection; the epoch: never
  /// When the attempt began that its machine left unanswered; the epoch, or before `heard`: it has
  /// answered since.
  base::TimePoint unreachable_at{};
  base::TimePoint reached_at{};    ///< when the last attempt began that was answered
  std::uint64_t told_changes = 0;  ///< View::changes as of that hello
  TargetReport report;
  std::uint32_t offered = 0;  ///< openings sent to it since its last report
};

struct ViewPolicy {
  /// A member that has not reported for this long is taken as gone, or for kReportsMissed periods
  /// of greeting where these are longer.
  base::Duration alive_timeout = base::milliseconds{1000};
  /// A member that left an opening or a query without an answer is given no other until it reports,
  /// and is asked at each check. Without a report for this long, ten questions, it is taken as
  /// gone.
  base::Duration suspect_timeout = base::milliseconds{500};
  /// A member with a record that has been silent for this long is off, cut off or frozen. An agent
  /// that is started again is back within three seconds.
  base::Duration silence_timeout = base::seconds{5};
  /// The same for one that said that its process ends: started again it is back in some tenths of a
  /// second, within two seconds on a slow instance, and may be paused for two more.
  base::Duration restart_timeout = base::seconds{4};
  /// The same for one whose machine cannot be reached: longer than a process is paused by its own
  /// machine's load, and short enough that a client whose flow was lost is told within its
  /// deadline.
  base::Duration unreachable_timeout = base::milliseconds{1000};
  /// That another balancer has given a member up counts for this long: two of its messages, of
  /// which one may be lost.
  base::Duration peer_report_ttl = base::milliseconds{2500};
  /// A member that is known and not live is greeted more often for this long: it is starting, or
  /// was left out by the loss of a datagram.
  base::Duration greet_for = base::seconds{2};
  /// An agent whose process has started anew is told so for this long, with what it has to know of
  /// its target until then: more than its first two heartbeats.
  base::Duration restarted_for = base::seconds{5};
  /// A member without a record that has been silent for this long is forgotten.
  base::Duration forget_after = base::seconds{10};
};

/// Reports that are awaited in vain before a member is taken as gone: three may be lost.
inline constexpr auto kReportsMissed = 4;

/// The agents that a balancer knows: from the platform's records, from other balancers, and from
/// agents that announced themselves. Only what an agent itself reports makes it live.
struct View {
  ViewPolicy policy;
  std::unordered_map<Address, Member> members;
  DrainedDomains drained;  ///< as an operator wants it
  /// When another balancer last said that an agent's machine is out of reach.
  std::unordered_map<Address, base::TimePoint> told_out_of_reach;
  /// Nobody is heard from: this instance itself is cut off, and nothing is known of any machine.
  bool isolated = false;
  /// Counts what makes hellos say something else: members that are new, and reports by which one
  /// may hold flows now, or may no more; and other domains that are drained.
  std::uint64_t changes = 0;
  /// Between two hellos to a member while nothing changes; see DueGreetings.
  base::Duration greet_every = base::milliseconds{250};
};

/// The platform has a record of the agent.
auto AddRecord(View& view, Address agent, base::ServiceId service, base::TimePoint now) -> void;

/// The record is gone. The member stays while it reports: an agent writes its record anew.
auto RemoveRecord(View& view, Address agent) -> void;

/// Another instance named the agent. Adds it if it isn't known.
auto AddUnverified(View& view, Address agent, base::ServiceId service, base::TimePoint now) -> void;

/// The agent reported. False for a report that is older than the last one of the same start.
auto TakeReport(View& view, const TargetReport& report, base::TimePoint now) -> bool;

/// Takes which domains are drained, where that is newer. True where they are others than before;
/// agents are told of these as of each change.
auto TakeDrained(View& view, const DrainedDomains& told) -> bool;

/// Whether the service has a live agent that would be given openings if its domain weren't drained.
auto IsHeldBack(const View& view, base::ServiceId service, base::TimePoint now) -> bool;

/// The member left an opening or a query without an answer.
auto Suspect(Member& member, base::TimePoint now) -> void;

/// Drops members without a record that have been silent for long.
auto Forget(View& view, base::TimePoint now) -> void;

auto IsAlive(const View& view, const Member& member, base::TimePoint now) -> bool;

/// Whether the member has been silent and its machine out of reach for so long, counted from
/// `running_since` at the earliest, that the flows of its target count as lost.
auto IsOutOfReach(const View& view, const Member& member, base::TimePoint running_since,
                  base::TimePoint now) -> bool;

/// Whether this instance itself has found it so.
auto FoundOutOfReach(const View& view, const Member& member, base::TimePoint running_since,
                     base::TimePoint now) -> bool;

/// Another balancer has given the agent up.
///
/// Safeguard: a balancer that starts while a failure domain is off knows nothing of it, and said
/// for a second that agents may be away. With balancers restarted one a second no lost flow of the
/// service was reset.
auto TakeOutOfReach(View& view, Address agent, base::TimePoint now) -> void;

/// Whether packets of unknown flows may find their own there.
auto MayHoldFlows(const View& view, const Member& member, base::TimePoint now) -> bool;

/// Whether an opening may be sent there.
auto IsUsable(const View& view, const Member& member, base::TimePoint now) -> bool;

/// Whether each agent of the service that has a record or has reported says itself, now, whether it
/// may hold flows: then no flow of a live target is anywhere else. One that has been silent for
/// ViewPolicy::silence_timeout is left out, counted from `running_since` at the earliest.
///
/// Safeguard: a balancer that was paused finds that it has heard from nobody for long. An agent
/// that was paused after it was left out at once, and a flow that its target held was reset.
auto IsComplete(const View& view, base::ServiceId service, base::TimePoint running_since,
                base::TimePoint now) -> bool;

/// The first agent of the service that keeps IsComplete from being true; 0 where there is none.
auto FirstAway(const View& view, base::ServiceId service, base::TimePoint running_since,
               base::TimePoint now) -> Address;

/// Whether the member is suspected, or is not live and was known or live ViewPolicy::greet_for ago
/// at the earliest; `running_since`: of this process, which may have slept through its reports.
auto IsAwaited(const View& view, const Member& member, base::TimePoint running_since,
               base::TimePoint now) -> bool;

/// Agents of a service that may hold flows, in no order: those that are alive, stay, and have a
/// target. Where there is none, all that are known.
///
/// Safeguard: these are asked for flows that nobody remembers, and an agent that ends does not
/// answer; it would be missed only when its reports are.
auto SearchSet(const View& view, base::ServiceId service, base::TimePoint now)
    -> std::vector<Place>;

/// Agents of a service to which an opening may be sent, none of a domain that is drained. Where
/// none is usable, the next best that are not known to refuse it: suspected ones, then those known
/// only by name (which know themselves whether their domain is drained), then silent ones.
///
/// Safeguard: a balancer that was short of processor time for a second finds that it has heard from
/// nobody and that no opening was answered; the fault is its own, and refusing all that comes would
/// fail requests while every target is well. An agent that cannot take an opening passes it on.
auto PlacementSet(const View& view, base::ServiceId service, base::TimePoint now)
    -> std::vector<Place>;

}  // namespace anvildrum::packets
