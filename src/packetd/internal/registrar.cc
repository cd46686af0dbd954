#include "packetd/registrar.h"

#include <boost/asio/io_context.hpp>
#include <utility>

#include "telemetry/log.h"

namespace anvildrum::packetd {
namespace {

using platform::Object;
using platform::Outcome;
using platform::PlatformError;
using platform::PlatformErrorCode;

// The first retry follows soon, because only seeds know an agent without a record. The cap keeps
// the calls of each agent during an outage below one per second.
constexpr auto kBackoff =
    platform::BackoffPolicy{.first = base::milliseconds{300}, .cap = base::seconds{2}};

// Longest wait during a platform outage, in case no balancer reports its end.
constexpr auto kMaxOutageWait = base::seconds{10};

// Calls that waited for the platform are spread over this time.
constexpr auto kResumeSpread = base::seconds{1};

}  // namespace

struct RegistrarCore : std::enable_shared_from_this<RegistrarCore> {
  RegistrarCore(boost::asio::io_context& io, const PlatformClients& given, std::string given_key,
                std::uint64_t seed, OnKept given_on_kept)
      : clients(given),
        key(std::move(given_key)),
        on_kept(std::move(given_on_kept)),
        timer(io),
        backoff(platform::MakeBackoff(kBackoff, seed)) {}

  auto Run() -> void;
  auto Create() -> void;
  auto Replace() -> void;
  auto Delete() -> void;
  auto Fetch() -> void;
  auto OnFetched(const Object& object) -> void;
  auto OnDone() -> void;
  auto OnFailed(const PlatformError& error) -> void;
  auto SetAnswers(bool platform_answers) -> void;
  auto RunAfter(base::Duration delay) -> void;

  /// Wraps a continuation so that it runs only during the lifetime of the registrar.
  template <typename T>
  auto Then(void (RegistrarCore::*next)(const T&)) -> platform::Callback<T> {
    return [weak = this->weak_from_this(), next](Outcome<T> outcome) {
      auto self = weak.lock();
      if (!self || self->stopped) return;
      if (const auto* error = std::get_if<PlatformError>(&outcome)) return self->OnFailed(*error);
      ((*self).*next)(std::get<T>(outcome));
    };
  }
  auto OnWritten(const std::uint64_t& written) -> void;
  auto OnRemoved(const std::monostate& /*nothing*/) -> void;

  PlatformClients clients;
  std::string key;
  OnKept on_kept;
  boost::asio::steady_timer timer;
  platform::Backoff backoff;
  std::string wanted;              ///< requested value; empty: absent
  std::string sent;                ///< value that the pending call writes
  std::uint64_t revision = 0;      ///< last known one of the object; 0: absent or unknown
  bool revision_known = false;     ///< `revision` is the platform's last answer
  bool object_expected = false;    ///< the object probably exists
  bool wrote = false;              ///< a write has put `sent` in place of another value
  bool fetches_copy = true;        ///< for the next fetch; once only, as a copy may be stale
  bool platform_available = true;  ///< whether the platform answers other instances
  bool awaits_platform = false;    ///< the timer waits until the platform answers
  bool running = false;
  bool settled = true;
  bool stopped = false;
};

auto RegistrarCore::Run() -> void {
  this->settled = false;
  if (this->running || this->stopped) return;
  this->running = true;
  if (!this->platform_available) {
    this->awaits_platform = true;
    return this->RunAfter(kMaxOutageWait);
  }
  this->sent = this->wanted;
  const auto fetch_first = this->object_expected && this->fetches_copy && this->revision == 0;
  if (!this->wanted.empty() && fetch_first) return this->Fetch();
  if (!this->wanted.empty()) return this->revision == 0 ? this->Create() : this->Replace();
  if (this->revision != 0) return this->Delete();
  if (!this->revision_known) return this->Fetch();
  this->OnDone();
}

auto RegistrarCore::Create() -> void {
  this->clients.newest.Put(this->key, this->sent, platform::IfAbsent{},
                           this->Then<std::uint64_t>(&RegistrarCore::OnWritten));
}

auto RegistrarCore::Replace() -> void {
  this->clients.newest.Put(this->key, this->sent, platform::IfMatch{this->revision},
                           this->Then<std::uint64_t>(&RegistrarCore::OnWritten));
}

auto RegistrarCore::Delete() -> void {
  this->clients.newest.Delete(this->key, platform::IfMatch{this->revision},
                              this->Then<std::monostate>(&RegistrarCore::OnRemoved));
}

auto RegistrarCore::Fetch() -> void {
  const auto copy = std::exchange(this->fetches_copy, false);
  auto& client = copy ? this->clients.may_be_stale : this->clients.newest;
  client.Get(this->key, this->Then<Object>(&RegistrarCore::OnFetched));
}

auto RegistrarCore::OnWritten(const std::uint64_t& written) -> void {
  this->revision = written;
  this->wrote = true;
  this->OnDone();
}

auto RegistrarCore::OnRemoved(const std::monostate& /*nothing*/) -> void {
  this->revision = 0;
  this->revision_known = true;
  this->OnDone();
}

auto RegistrarCore::OnFetched(const Object& object) -> void {
  this->revision = object.revision;
  this->revision_known = true;
  if (object.value == this->wanted) return this->OnDone();
  this->running = false;
  this->Run();
}

auto RegistrarCore::OnDone() -> void {
  platform::Reset(this->backoff);
  this->running = false;
  this->fetches_copy = true;
  const auto written = std::exchange(this->wrote, false);
  if (this->sent != this->wanted) return this->Run();
  this->settled = true;
  if (!this->wanted.empty()) this->on_kept(this->wanted, written);
  telemetry::Log(
      telemetry::LogLevel::kInfo, "record_settled",
      {{"key", this->key}, {"present", !this->wanted.empty()}, {"revision", this->revision}});
}

auto RegistrarCore::OnFailed(const PlatformError& error) -> void {
  if (error.code == PlatformErrorCode::kConflict) return this->Fetch();
  if (error.code == PlatformErrorCode::kNotFound) {
    this->revision = 0;
    this->revision_known = true;
    this->running = false;
    return this->Run();
  }
  telemetry::Log(
      telemetry::LogLevel::kInfo, "record_call_failed",
      {{"key", this->key}, {"code", static_cast<int>(error.code)}, {"status", error.http_status}});
  this->RunAfter(platform::NextDelay(this->backoff));
}

auto RegistrarCore::RunAfter(base::Duration delay) -> void {
  this->revision_known = false;
  this->timer.expires_after(delay);
  this->timer.async_wait([weak = this->weak_from_this()](auto error) {
    auto self = weak.lock();
    if (error || !self || self->stopped) return;
    self->running = false;
    // The balancer that reported the platform as silent may no longer exist.
    if (std::exchange(self->awaits_platform, false)) self->platform_available = true;
    self->Run();
  });
}

auto RegistrarCore::SetAnswers(bool platform_answers) -> void {
  this->platform_available = platform_answers;
  if (!this->platform_available || !this->awaits_platform) return;
  this->awaits_platform = false;
  this->RunAfter(platform::Jitter(this->backoff, kResumeSpread));
}

Registrar::Registrar(boost::asio::io_context& io, const PlatformClients& clients, std::string key,
                     std::uint64_t seed, OnKept on_kept)
    : core(std::make_shared<RegistrarCore>(io, clients, std::move(key), seed, std::move(on_kept))) {
}

Registrar::~Registrar() {
  this->core->stopped = true;
  this->core->timer.cancel();
}

auto Registrar::Keep(std::string value) -> void {
  if (this->core->wanted == value && this->core->settled) return;
  this->core->wanted = std::move(value);
  this->core->Run();
}

auto Registrar::Remove() -> void {
  const auto absent = this->core->revision_known && this->core->revision == 0;
  if (this->core->wanted.empty() && this->core->settled && absent) return;
  this->core->wanted.clear();
  this->core->Run();
}

auto Registrar::ExpectObject() -> void { this->core->object_expected = true; }

auto Registrar::SetPlatformAnswers(bool answers) -> void { this->core->SetAnswers(answers); }

auto Registrar::IsSettled() const -> bool { return this->core->settled; }

}  // namespace anvildrum::packetd
