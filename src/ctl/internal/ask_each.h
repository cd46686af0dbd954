#pragma once

#include <cstddef>
#include <functional>

namespace anvildrum::ctl {

/// Calls `ask` with each number below `count`, from several threads.
///
/// Safeguard: one dead instance costs its whole time limit, so asked one after the other a few of
/// them would make a command take minutes; a few at a time keep it to seconds.
auto AskEach(std::size_t count, const std::function<void(std::size_t)>& ask) -> void;

}  // namespace anvildrum::ctl
