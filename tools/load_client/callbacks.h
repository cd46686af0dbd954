#pragma once

#include <coap3/coap.h>

#include "tools/load_client/load.h"

namespace anvildrum::load {

/// Registers the handlers of answers and of failed messages. `load` outlives the context.
auto RegisterCallbacks(coap_context_t* context, Load& load) -> void;

}  // namespace anvildrum::load
