#include "packets/tests/narrow_links_world.h"

#include <algorithm>
#include <utility>

namespace anvildrum::packets {
namespace {

using base::Duration;
using base::milliseconds;
using base::seconds;
using base::TimePoint;

constexpr auto kStart = TimePoint{seconds{1000}};
constexpr auto kStep = milliseconds{5};
constexpr auto kFirstBytes = milliseconds{8};  // from a call to the first bytes of its answer
constexpr auto kHelloEvery = seconds{1};
constexpr auto kHeardFor = seconds{5};
constexpr auto kSeeds = std::size_t{3};
constexpr auto kWideBytesASecond = 25e6;
constexpr auto kTimeouts = platform::AnswerTimeouts{.first = seconds{1}, .between = seconds{1}};

// A configuration has to be in force within 5 s.
constexpr auto kReads =
    platform::SharedReadsPolicy{.fresh_for = milliseconds{1250}, .spread = milliseconds{1250}};
constexpr auto kAskEvery = milliseconds{625};

}  // namespace

NarrowLinksWorld::NarrowLinksWorld(const NarrowLinksOptions& options)
    : options(options),
      random(options.seed),
      balancers(options.balancers),
      accepted_at{kStart - seconds{60}},
      now(kStart) {
  for (auto index = std::size_t{0}; index < this->balancers.size(); ++index) {
    auto& balancer = this->balancers[index];
    const auto is_wide = index % this->balancers.size() < options.wide;
    balancer.bytes_a_second = is_wide ? kWideBytesASecond : options.narrow_bytes_a_second;
    balancer.reads = platform::MakeSharedReads(kReads, this->random());
    platform::Begin(balancer.reads, this->now);
    platform::SetInstances(balancer.reads, options.balancers, this->now);
    balancer.heard.resize(options.balancers);
    balancer.next_hello = this->now + this->Draw(kHelloEvery);
  }
}

auto NarrowLinksWorld::RunFor(Duration duration) -> void {
  const auto until = this->now + duration;
  for (; this->now < until; this->now += kStep) this->Step();
}

auto NarrowLinksWorld::MostBehind() const -> milliseconds {
  return std::chrono::duration_cast<milliseconds>(this->most_behind);
}

auto NarrowLinksWorld::CutShort() const -> std::uint64_t { return this->cut_short; }

auto NarrowLinksWorld::Step() -> void {
  this->ChangeVersion();
  this->MoveBytes();
  for (auto index = std::size_t{0}; index < this->balancers.size(); ++index) {
    auto& balancer = this->balancers[index];
    this->EndAnswers(index);
    this->Receive(index);
    this->Ask(index);
    if (this->now >= balancer.next_hello) {
      balancer.next_hello = this->now + kHelloEvery;
      this->SayHello(index);
    }
    if (balancer.version + 1 >= this->accepted_at.size()) continue;
    const auto replaced = this->accepted_at[balancer.version + 1];
    this->most_behind = std::max(this->most_behind, this->now - replaced);
  }
}

auto NarrowLinksWorld::ChangeVersion() -> void {
  const auto last = std::max(this->accepted_at.back(), kStart);
  if (this->now - last >= this->options.version_every) this->accepted_at.push_back(this->now);
}

auto NarrowLinksWorld::VersionAt(TimePoint at) const -> std::uint64_t {
  const auto after = std::upper_bound(this->accepted_at.begin(), this->accepted_at.end(), at);
  return static_cast<std::uint64_t>(after - this->accepted_at.begin()) - 1;
}

auto NarrowLinksWorld::Ask(std::size_t index) -> void {
  auto& balancer = this->balancers[index];
  const auto& answers = balancer.answers;
  const auto is_coming = [](const Answer& answer) { return answer.progress.heard_at.has_value(); };
  const auto is_platforms = [&](const Answer& answer) { return is_coming(answer) && !answer.from; };
  const auto coming = std::any_of(answers.begin(), answers.end(), is_coming);
  if (std::none_of(answers.begin(), answers.end(), is_platforms) &&
      platform::IsReadDue(balancer.reads, this->now)) {
    platform::BeginRead(balancer.reads, this->now);
    this->BeginAnswer(index, Purpose::kTurn, std::nullopt, this->VersionAt(this->now));
  }
  const auto is_seed = index < kSeeds;
  const auto turned_away = balancer.reads.backoff.failures != 0;
  const auto basis = ConfigurationRequestContext{.revision = balancer.version,
                                                 .is_seed = is_seed,
                                                 .turned_away = turned_away,
                                                 .answer_coming = coming,
                                                 .every = kAskEvery};
  const auto source = NextConfigurationSource(balancer.newer, basis, this->now);
  if (!source) return;
  if (*source == ConfigurationSource::kBalancer) {
    const auto holder = static_cast<std::size_t>(balancer.newer->holder);
    return this->BeginAnswer(index, Purpose::kQuestion, holder, this->balancers[holder].version);
  }
  const auto behind =
      *source == ConfigurationSource::kCopy ? this->options.copies_behind : Duration{};
  this->BeginAnswer(index, Purpose::kQuestion, std::nullopt, this->VersionAt(this->now - behind));
}

auto NarrowLinksWorld::BeginAnswer(std::size_t index, Purpose purpose,
                                   std::optional<std::size_t> from, std::uint64_t version) -> void {
  this->balancers[index].answers.push_back({.purpose = purpose,
                                            .from = from,
                                            .version = version,
                                            .missing = this->options.configuration_bytes,
                                            .progress = {.sent_at = this->now, .heard_at = {}}});
}

// Shares each link evenly among the answers that arrive over it.
auto NarrowLinksWorld::MoveBytes() -> void {
  const auto is_coming = [&](const Answer& answer) {
    return this->now - answer.progress.sent_at >= kFirstBytes;
  };
  auto sent_by = std::vector<double>(this->balancers.size());
  for (const auto& balancer : this->balancers) {
    for (const auto& answer : balancer.answers) {
      if (answer.from && is_coming(answer)) ++sent_by[*answer.from];
    }
  }
  const auto step = std::chrono::duration<double>(kStep).count();
  for (auto& balancer : this->balancers) {
    const auto coming = std::count_if(balancer.answers.begin(), balancer.answers.end(), is_coming);
    for (auto& answer : balancer.answers) {
      if (!is_coming(answer)) continue;
      auto rate = balancer.bytes_a_second / static_cast<double>(coming);
      if (answer.from) {
        const auto& sender = this->balancers[*answer.from];
        rate = std::min(rate, sender.bytes_a_second / sent_by[*answer.from]);
      }
      answer.missing -= rate * step;
      answer.progress.heard_at = this->now;
    }
  }
}

auto NarrowLinksWorld::EndAnswers(std::size_t index) -> void {
  auto awaited = std::exchange(this->balancers[index].answers, {});
  for (const auto& answer : awaited) {
    const auto whole = answer.missing <= 0;
    const auto given_up = this->now >= platform::GiveUpAt(answer.progress, kTimeouts);
    if (!whole && !given_up) {
      this->balancers[index].answers.push_back(answer);
      continue;
    }
    if (!whole && answer.progress.heard_at) ++this->cut_short;
    this->EndAnswer(index, answer, whole);
  }
}

auto NarrowLinksWorld::EndAnswer(std::size_t index, const Answer& answer, bool whole) -> void {
  auto& balancer = this->balancers[index];
  if (whole) balancer.version = std::max(balancer.version, answer.version);
  if (answer.purpose != Purpose::kTurn) return;
  if (!whole) return platform::FailRead(balancer.reads, this->now);
  platform::EndRead(balancer.reads, this->now);
  this->SayHello(index);
}

auto NarrowLinksWorld::Receive(std::size_t index) -> void {
  auto& balancer = this->balancers[index];
  for (const auto& told : std::exchange(balancer.socket, {})) {
    balancer.heard[told.from] = this->now;
    if (told.version > balancer.version) {
      const auto holder = static_cast<Address>(this->HolderOf(told.version));
      NoteNewer(balancer.newer, holder, told.version, balancer.version);
    }
    if (told.version != balancer.version || !told.as_of) continue;
    const auto before = balancer.reads.confirmed_at;
    platform::TakeConfirmation(balancer.reads, *told.as_of, this->now);
    const auto gained = before ? *balancer.reads.confirmed_at - *before : Duration{};
    if (index < kSeeds && gained > kReads.fresh_for / 2) this->SayHello(index);
  }
}

// Returns a random balancer that has this version. At least one balancer must have it.
auto NarrowLinksWorld::HolderOf(std::uint64_t version) -> std::size_t {
  auto holders = std::vector<std::size_t>{};
  for (auto index = std::size_t{0}; index < this->balancers.size(); ++index) {
    if (this->balancers[index].version >= version) holders.push_back(index);
  }
  return holders[this->random() % holders.size()];
}

auto NarrowLinksWorld::SayHello(std::size_t index) -> void {
  const auto& balancer = this->balancers[index];
  for (auto to = std::size_t{0}; to < this->balancers.size(); ++to) {
    const auto is_known = to < kSeeds || this->now - balancer.heard[to] < kHeardFor;
    if (to == index || !is_known) continue;
    this->balancers[to].socket.push_back(
        {.from = index, .version = balancer.version, .as_of = balancer.reads.confirmed_at});
  }
}

auto NarrowLinksWorld::Draw(Duration most) -> Duration {
  return Duration{std::uniform_int_distribution<Duration::rep>{0, most.count()}(this->random)};
}

}  // namespace anvildrum::packets
