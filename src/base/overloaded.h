#pragma once

namespace anvildrum::base {

/// One callable of several, for std::visit: the handler whose parameter fits is called.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace anvildrum::base
