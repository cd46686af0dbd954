#pragma once

#include <optional>

#include "requests/hand_over.h"
#include "wire/datagram.h"

namespace anvildrum::agent {

/// Encodes the record as the payload of a HandOver.
auto WriteRecord(const requests::FlowRecord& record) -> wire::Bytes;

/// Returns nothing if the record is malformed: a field out of range or a token of more than 8
/// bytes.
auto ReadRecord(wire::BytesView payload) -> std::optional<requests::FlowRecord>;

}  // namespace anvildrum::agent
