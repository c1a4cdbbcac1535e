#include "exchange.h"
#include "proxy_state.h"

namespace Vanillahall::Forward {

bool Exchange::identifyCustomer()
{
    return true;
}

bool Exchange::confirmCustomer()
{
    return true;
}

} // namespace Vanillahall::Forward
