#include "exchange.h"
#include "proxy_state.h"

namespace Vanillahall::Forward {

void Exchange::requestPermit()
{
    queryStore();
}

} // namespace Vanillahall::Forward
