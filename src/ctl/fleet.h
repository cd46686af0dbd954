#pragma once

#include <functional>
#include <span>
#include <vector>

#include "base/result.h"
#include "config/types/patch.h"
#include "ctl/object_store.h"
#include "ctl/types/instance.h"

/// The instances of a deployment: who is announced, and what each says of itself.
namespace anvildrum::ctl {

/// Asks the operator port of an instance. Fails with CtlError. Called from several threads.
using FetchStatus = std::function<base::Result<std::string>(const base::Endpoint&)>;

/// GET /status over HTTP.
auto HttpFetchStatus() -> FetchStatus;

/// POST /drain at an operator port. Errors: CtlError.
auto PostDrain(const base::Endpoint& operator_port) -> base::Result<void>;

/// Every announced balancer and agent; records that can't be read are left out.
auto ListInstances(const ObjectStore& store) -> base::Result<std::vector<Instance>>;

/// Every announced target, for the rules of a patch.
auto ListTargets(const ObjectStore& store) -> base::Result<std::vector<config::KnownTarget>>;

/// Asks each instance, a few at a time; the reports stand in the order of the instances.
auto AskInstances(std::span<const Instance> instances, const FetchStatus& fetch)
    -> std::vector<InstanceReport>;

/// Reads an answer of GET /status; nothing where it isn't a JSON object.
auto ReadStatus(std::string_view text) -> std::optional<InstanceStatus>;

/// The one instance beside `target`. Errors: CtlError kNoSuchTarget, kAmbiguous.
auto FindTarget(std::span<const Instance> instances, std::string_view target)
    -> base::Result<Instance>;

}  // namespace anvildrum::ctl
