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

/// What a balancer knows about an agent.
struct Member {
  Address agent = 0;
  base::ServiceId service;
  bool listed = false;  ///< has a record at the platform
  base::TimePoint known_since{};
  base::TimePoint heard{};         ///< time of the last report; the epoch: never
  base::TimePoint suspected_at{};  ///< gets no opening until it reports; the epoch: not suspected
  base::TimePoint restarted_at{};  ///< first report after a restart; the epoch: none
  /// Since when its reports have said that its target may hold flows: its process or its target has
  /// come or returned then.
  base::TimePoint present_since{};
  base::TimePoint hello_sent_at{};  ///< last hello; the epoch: none yet
  base::TimePoint probed_at{};      ///< last connection attempt to its machine; the epoch: never
  /// Start of the connection attempt that the agent's machine did not answer. If this is the epoch
  /// or before `heard`, the agent has answered since.
  base::TimePoint unreachable_at{};
  base::TimePoint reached_at{};    ///< start of the last answered connection attempt
  std::uint64_t told_changes = 0;  ///< View::changes at the last hello
  TargetReport report;
  std::uint32_t offered = 0;  ///< openings sent to it since its last report
};

struct ViewPolicy {
  /// A member counts as not alive after this long without a report, or after kReportsMissed
  /// hello intervals if these take longer.
  base::Duration alive_timeout = base::milliseconds{1000};
  /// A member that left an opening or a query unanswered gets no further opening until it reports,
  /// and is asked for a report at each check. It counts as not alive after this long without a
  /// report, which is ten such requests.
  base::Duration suspect_timeout = base::milliseconds{500};
  /// A member with a record that has been silent for this long counts as powered off, disconnected
  /// or frozen. A restarted agent reports again within three seconds.
  base::Duration silence_timeout = base::seconds{5};
  /// The same limit for a member that reported that its process is stopping. After a restart it
  /// reports within some tenths of a second, or within two seconds on a slow instance, and it may
  /// be paused for two more seconds.
  base::Duration restart_timeout = base::seconds{4};
  /// The same limit for a member whose machine is unreachable. It is longer than the load of a
  /// machine pauses a process, and short enough that the client of a lost flow receives the reset
  /// within its deadline.
  base::Duration unreachable_timeout = base::milliseconds{1000};
  /// How long another balancer's report that a member is unreachable stays valid. The time spans
  /// two of the balancer's messages, since one of them may be lost.
  base::Duration peer_report_ttl = base::milliseconds{2500};
  /// How long a known member that is not alive is sent hellos more often. It may be starting, or a
  /// lost datagram may have left it out.
  base::Duration frequent_hello_time = base::seconds{2};
  /// How long a restarted agent is told of its restart and of what it has to know about its target
  /// from before. The time is longer than the agent's first two heartbeats.
  base::Duration restarted_for = base::seconds{5};
  /// A member without a record is removed after it has been silent for this long.
  base::Duration forget_after = base::seconds{10};
};

/// Number of hello intervals without a report after which a member counts as not alive, so that
/// three reports may be lost.
inline constexpr auto kReportsMissed = 4;

/// The agents that a balancer knows from the platform's records, from other balancers and from the
/// agents themselves. Only an agent's own reports make it alive.
struct View {
  ViewPolicy policy;
  std::unordered_map<Address, Member> members;
  DrainedDomains drained;  ///< domains that an operator has drained
  /// When another balancer last reported that an agent's machine is unreachable.
  std::unordered_map<Address, base::TimePoint> told_out_of_reach;
  /// This instance receives nothing from anyone. It is probably disconnected itself, so it cannot
  /// judge whether a machine is reachable.
  bool isolated = false;
  /// Counts the changes that alter the content of hellos: new members, reports that change whether
  /// a member may hold flows, restarts, moves to another service or domain, and changes of the
  /// drained domains.
  std::uint64_t changes = 0;
  /// Interval between two hellos to a member while nothing changes; see DueHellos.
  base::Duration hello_interval = base::milliseconds{250};
};

/// Notes that the platform has a record of the agent; adds the agent if it is unknown.
auto AddRecord(View& view, Address agent, base::ServiceId service, base::TimePoint now) -> void;

/// Notes that the platform's record was removed. The member stays while it reports, since an agent
/// writes its record again.
auto RemoveRecord(View& view, Address agent) -> void;

/// Adds an agent that another instance named, unless it is known already.
auto AddUnverified(View& view, Address agent, base::ServiceId service, base::TimePoint now) -> void;

/// Applies an agent's report. Returns false for a report that is no newer than the last one since
/// the same start of the agent.
auto TakeReport(View& view, const TargetReport& report, base::TimePoint now) -> bool;

/// Applies the set of drained domains if it is newer. Returns true if the set has changed, which
/// counts as a change that agents are told of.
auto TakeDrained(View& view, const DrainedDomains& told) -> bool;

/// Whether the service has an agent that would get openings if its domain were not drained.
auto IsHeldBack(const View& view, base::ServiceId service, base::TimePoint now) -> bool;

/// Marks a member as suspected because it left an opening or a query unanswered.
auto Suspect(Member& member, base::TimePoint now) -> void;

/// Removes members without a record after ViewPolicy::forget_after of silence, and expired reports
/// of unreachable agents.
auto Forget(View& view, base::TimePoint now) -> void;

auto IsAlive(const View& view, const Member& member, base::TimePoint now) -> bool;

/// Whether the member has been silent and its machine unreachable for so long that the flows of its
/// target count as lost. The time counts from `running_since` at the earliest.
auto IsOutOfReach(const View& view, const Member& member, base::TimePoint running_since,
                  base::TimePoint now) -> bool;

/// Whether this instance itself has found the member out of reach, as IsOutOfReach defines it.
auto FoundOutOfReach(const View& view, const Member& member, base::TimePoint running_since,
                     base::TimePoint now) -> bool;

/// Notes that another balancer reported the agent as unreachable.
///
/// Safeguard: a balancer that starts while a failure domain is down knows nothing about it and
/// reports for a second that agents may be missing. With one balancer restarted per second, no lost
/// flow of the service would be reset.
auto TakeOutOfReach(View& view, Address agent, base::TimePoint now) -> void;

/// Whether the member's target may hold flows, so that it is searched for unknown flows.
auto MayHoldFlows(const View& view, const Member& member, base::TimePoint now) -> bool;

/// Whether the member is alive, ready and not suspected, so that it may receive openings.
auto IsUsable(const View& view, const Member& member, base::TimePoint now) -> bool;

/// Whether each agent of the service that has a record or has reported currently reports whether it
/// may hold flows. If so, no other agent holds a flow of a live target. An agent that has been
/// silent for ViewPolicy::silence_timeout, counted from `running_since` at the earliest, is
/// ignored.
///
/// Safeguard: a balancer that was paused has had no report for long when it resumes. Without the
/// bound by `running_since`, an agent that was paused next would be ignored at once, and a flow
/// that its target holds would be reset.
auto IsComplete(const View& view, base::ServiceId service, base::TimePoint running_since,
                base::TimePoint now) -> bool;

/// Returns an agent of the service because of which IsComplete is false; 0 if there is none.
auto FirstAway(const View& view, base::ServiceId service, base::TimePoint running_since,
               base::TimePoint now) -> Address;

/// Whether the member is to be sent hellos more often: it is suspected or not alive, and it was
/// last heard, first known or first suspected within ViewPolicy::frequent_hello_time. The time
/// counts from `running_since` of this process at the earliest, which may have been paused during
/// the reports.
auto IsAwaited(const View& view, const Member& member, base::TimePoint running_since,
               base::TimePoint now) -> bool;

/// Returns the agents of a service that may hold flows, unordered: those that are alive, are not
/// stopping and have a target. If there is none, returns all known agents of the service.
///
/// Safeguard: these agents are queried for unknown flows. A stopping agent does not answer, and its
/// absence would be noticed only when its reports fail to arrive.
auto SearchSet(const View& view, base::ServiceId service, base::TimePoint now)
    -> std::vector<Place>;

/// Agents of other services whose targets may hold flows of a route.
struct OtherHolders {
  std::vector<Place> agents;  ///< can be queried, sorted by address
  Address undecided = 0;      ///< an agent that cannot tell at present; 0: none
};

/// Returns the agents of all services but `services` whose targets hold flows of the route, by
/// their last reports. An agent that reports no set of routes knows too little about its target; it
/// counts as undecided unless `services` are known to be all that may hold such flows.
///
/// Safeguard: balancers do not apply every version of the configuration, nor at the same moment, so
/// that one may not know a service to which another one sent the route's flows.
auto FindOtherHolders(const View& view, const End& route, std::span<const base::ServiceId> services,
                      bool services_known, base::TimePoint running_since, base::TimePoint now)
    -> OtherHolders;

/// Returns the agents of a service to which an opening may be sent, none of them in a drained
/// domain. If none is usable, returns the next best agents that are not known to refuse it:
/// suspected ones, then those that have never reported (which know themselves whether their domain
/// is drained), then silent ones.
///
/// Safeguard: a balancer that lacked CPU time for a second has had no report and no answer to an
/// opening in that time. The fault is its own, and refusing all openings would fail requests while
/// every target is healthy. An agent that cannot accept an opening passes it on.
auto PlacementSet(const View& view, base::ServiceId service, base::TimePoint now)
    -> std::vector<Place>;

}  // namespace anvildrum::packets
