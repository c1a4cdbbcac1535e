#include "exchange.h"
#include "proxy_state.h"

namespace Vanillahall::Forward {

bool Exchange::refuseOverload()
{
    return false;
}

} // namespace Vanillahall::Forward
