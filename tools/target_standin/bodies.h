#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tools/target_standin/work.h"

namespace anvildrum::target {

/// The "id" of a request body, a JSON object; nothing when the body holds none.
auto RequestIdOf(std::string_view body) -> std::optional<std::string>;

/// The flag of a drain request's body, {"draining": true}; nothing when the body holds none.
auto DrainingOf(std::string_view body) -> std::optional<bool>;

// Bodies of answers, JSON objects; each names the target.
auto FeedBody(std::string_view target, std::uint64_t sequence, double price) -> std::string;
auto StatusBody(std::string_view target, std::uint64_t sequence) -> std::string;
auto RunBody(std::string_view target, std::string_view request_id, std::uint64_t executions)
    -> std::string;
auto RouteBody(std::string_view target, std::string_view request_id) -> std::string;
auto ErrorBody(std::string_view target, std::string_view error, std::string_view request_id)
    -> std::string;
auto LoadBody(std::string_view target, const Load& load, unsigned slots) -> std::string;
auto HealthBody(std::string_view target, const Load& load) -> std::string;
auto ExecutionsBody(std::string_view target, const Work& work) -> std::string;

}  // namespace anvildrum::target
