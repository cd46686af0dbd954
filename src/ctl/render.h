#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "config/types/configuration_error.h"
#include "ctl/types/ctl_error.h"
#include "ctl/types/instance.h"

/// Text for people and scripts.
namespace anvildrum::ctl {

/// A table with a line for each instance; `number` is the platform's, when it was asked.
auto StatusTable(std::span<const InstanceReport> reports, std::optional<std::uint64_t> number)
    -> std::string;

/// {"number": N, "instances": [{"role", "name", "service", "failure_domain", "operator_port",
/// "reachable", "status": {...}}]}; "status" is the instance's own answer.
auto StatusJson(std::span<const InstanceReport> reports, std::optional<std::uint64_t> number)
    -> std::string;

/// A line for each patch in the history of a document, newest last.
auto HistoryText(std::string_view document) -> std::string;

/// The document, indented.
auto Indented(std::string_view document) -> std::string;

auto Describe(const CtlError& error) -> std::string;
auto Describe(const config::PatchRefusal& refusal) -> std::string;

/// "balancer b1", or its address where the name isn't known.
auto NameOf(const Instance& instance) -> std::string;

}  // namespace anvildrum::ctl
